package untrusted

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// crowd is the number of clients of most tests: 40 bodies of 4 MiB exceed memoryMB by themselves.
	crowd = 40
	// sendTimeout is after how long a client stops trying to send. It keeps its connection.
	sendTimeout = 5 * time.Second
	// maxBody is the largest body of an ordinary client.
	maxBody = 4 << 20
)

// client sends what one client of a crowd sends to a port. Its connection stays open afterwards.
type client func(c io.Writer, p *port, index int)

// run sends a crowd of n clients to each of the named ports and checks the process while their
// connections are still open.
func run(t *testing.T, ports []string, n int, send client) {
	for _, name := range ports {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			p := start(t, name)
			before, err := p.PeakMemory()
			check.NoErr(err)
			conns := make([]net.Conn, n)
			var wg sync.WaitGroup
			for i := range conns {
				c, err := net.DialTimeout("tcp", p.addr, sendTimeout)
				if err != nil {
					continue // refused, which is allowed
				}
				defer func() { _ = c.Close() }()
				check.NoErr(c.SetDeadline(time.Now().Add(sendTimeout)))
				// A client that doesn't read leaves as little as possible to the kernel's buffers.
				check.NoErr(c.(*net.TCPConn).SetReadBuffer(4 << 10))
				conns[i] = c
				wg.Go(func() { send(c, p, i) })
			}
			wg.Wait()
			check.NoErr(p.Signal(syscall.Signal(0))) // the process lives
			settle(p)
			answered := eventually(answerTimeout, p.ordinary)
			peak, err := p.PeakMemory()
			check.NoErr(err)
			files, err := p.OpenFiles()
			check.NoErr(err)
			t.Logf("peak memory %d MiB (%d MiB before), %d open descriptors, answered %v", peak>>20, before>>20, files, answered)
			if peak >= memoryMB<<20 {
				t.Errorf("peak memory of %d MiB, the limit is %d MiB", peak>>20, memoryMB)
			}
			if files > maxOpenFiles {
				t.Errorf("%d open descriptors, the bound is %d", files, maxOpenFiles)
			}
			if !answered {
				t.Error("no ordinary request was answered")
			}
		})
	}
}

// settle waits until the process has read what the crowd sent: its peak memory no longer grows.
func settle(p *port) {
	const quiet, bound = 500 * time.Millisecond, 10 * time.Second
	last, since := int64(0), time.Now()
	eventually(bound, func() bool {
		if peak, err := p.PeakMemory(); err != nil || peak != last {
			last, since = peak, time.Now()
		}
		return time.Since(since) >= quiet
	})
}

// head returns the request line and some header lines of a request, without the empty line.
func head(method string, p *port, lines ...string) string {
	return method + " " + p.path + " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\nJacinthbend-Request-Id: hostile\r\nJacinthbend-Deadline-Ms: 8000\r\n" + strings.Join(append(lines, ""), "\r\n")
}

// write writes s and reports whether it was sent.
func write(c io.Writer, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}

// repeat sends part until size bytes were sent or the connection ends.
func repeat(c io.Writer, part string, size int) {
	const block = 64 << 10
	text := strings.Repeat(part, max(1, block/len(part)))
	for sent := 0; sent < size && write(c, text); sent += len(text) {
	}
}
