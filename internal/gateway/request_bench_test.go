package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// BenchmarkRequest measures an ordinary request on a connection that is kept open, through the listener
// and the gateway to an upstream and back. All run in this process.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 8 << 10, 55 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			check := is.New(b)
			env := newEnv(b, respond(200, strings.Repeat("a", 1<<10)))
			v, config := *env.view, *env.view.Config
			config.Limits = fleet.Limits{MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10}
			v.Config = &config
			env.gateway.Update(&v)
			c, err := net.Dial("tcp", env.addr)
			check.NoErr(err)
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			body := strings.Repeat("b", size)
			b.ReportAllocs()
			before := cpuTime(b)
			for b.Loop() {
				env.writeRequest(c, "POST", "/safe/x", body, "User-Agent: bench", "Accept: */*")
				resp, err := http.ReadResponse(r, nil)
				check.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				check.NoErr(err)
				check.Equal(resp.StatusCode, http.StatusOK)
			}
			// Unlike the time that passes, it does not depend on what else the machine does.
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
