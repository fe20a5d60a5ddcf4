package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// idleCallersEnv names the address to which a process of the test binary opens idle connections.
const idleCallersEnv = "JACINTHBEND_TEST_IDLE_CALLERS"

// idleConnections is the number of idle connections that an entry instance has to bear.
const idleConnections = 10000

// TestIdleCallers is the process that holds the connections of BenchmarkIdleConnections: both ends in
// one process would take more descriptors than a process may have.
func TestIdleCallers(t *testing.T) {
	addr := os.Getenv(idleCallersEnv)
	if addr == "" {
		return // only a helper of the benchmark
	}
	var conns []net.Conn
	for i := range idleConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		conns = append(conns, c)
		if _, err := fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		_ = resp.Body.Close()
	}
	fmt.Println("open")
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	for _, c := range conns {
		_ = c.Close()
	}
}

// BenchmarkIdleConnections reports the memory of the server for each of idleConnections connections
// that have served a request.
func BenchmarkIdleConnections(b *testing.B) {
	for b.Loop() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		h := NewServer(ln, ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second, OmitDefaultHeaders: true})
		h.GET("/x", func(context.Context, *app.RequestContext) {})
		go func() { _ = h.Run() }()
		before := memoryInUse()
		cmd := exec.Command(os.Args[0], "-test.run", "^TestIdleCallers$", "-test.v")
		cmd.Env = append(os.Environ(), idleCallersEnv+"="+ln.Addr().String())
		stdin, err := cmd.StdinPipe()
		if err != nil {
			b.Fatal(err)
		}
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			b.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			b.Fatal(err)
		}
		opened := false
		for s := bufio.NewScanner(stdout); !opened && s.Scan(); {
			opened = s.Text() == "open"
		}
		if !opened {
			b.Fatal("the connections could not be opened")
		}
		b.ReportMetric(float64(memoryInUse()-before)/idleConnections, "B/connection")
		b.ReportMetric(float64(runtime.NumGoroutine()), "goroutines")
		_ = stdin.Close()
		_ = cmd.Wait()
		_ = h.Close()
	}
}

// memoryInUse returns the bytes of the heap and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
