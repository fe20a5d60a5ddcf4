package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthbend/jacinthbend/internal/exchange"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/gateway"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/retrybudget"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/platform"
)

func TestMain(m *testing.M) {
	// hertz logs a line for each server that starts.
	hlog.SetOutput(io.Discard)
	m.Run()
}

// arrival is a request as an upstream read it.
type arrival struct {
	upstream string
	head     string
	header   http.Header
	body     string
}

// script answers one request on an upstream's connection. False closes it.
type script func(c net.Conn, a arrival) bool

// world is a gateway before scripted upstreams.
type world struct {
	t       *testing.T
	gateway *gateway.Gateway
	machine *lifecycle.Machine
	addr    string
	loader  *loader
	view    *fleet.View
	pool    *upstream.Pool
	logs    *observer.ObservedLogs
	// accepted counts the requests that the gateway has read.
	accepted atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
	conns    int
	// hungUp receives a value for each connection that a script has closed.
	hungUp chan struct{}
	// closed has why upstreams' connections ended.
	closed chan error
}

var routes = []fleet.Route{
	{Name: "once", Prefix: "/once/", Kind: fleet.NonIdempotent, Attempts: 1},
	{Name: "twice", Prefix: "/twice/", Kind: fleet.NonIdempotent, Attempts: 2},
	{Name: "safe", Prefix: "/safe/", Kind: fleet.Idempotent, Attempts: 2},
	{Name: "short", Prefix: "/short/", Kind: fleet.NonIdempotent, Attempts: 1, Timeout: 150 * time.Millisecond},
	{Name: "stream", Prefix: "/stream/", Kind: fleet.Streaming, Attempts: 1},
	{Name: "resume", Prefix: "/resume/", Kind: fleet.Streaming, Attempts: 2, Resumable: true},
	{Name: "public", Prefix: "/public/", Kind: fleet.Idempotent, Attempts: 1, Public: true},
	{Name: "model", Prefix: "/model/", Kind: fleet.Streaming, Attempts: 2, Resumable: true, Targets: []fleet.Target{{Service: "engines"}}},
	{Name: "nowhere", Prefix: "/nowhere/", Kind: fleet.Idempotent, Attempts: 1, Targets: []fleet.Target{{Service: "none"}}},
}

func newWorld(t *testing.T, scripts ...script) *world {
	w := newStartingWorld(t, scripts...)
	is.New(t).NoErr(w.machine.Serve())
	return w
}

// countingDialect counts the requests whose attributes were read.
type countingDialect struct {
	platform.HeaderCodec
	read *atomic.Int64
}

func (d countingDialect) Attributes(h http.Header) (fleet.Attributes, error) {
	d.read.Add(1)
	return d.HeaderCodec.Attributes(h)
}

// newStartingWorld returns a world whose gateway does not serve yet.
func newStartingWorld(t *testing.T, scripts ...script) *world {
	w := &world{t: t, machine: lifecycle.New(), closed: make(chan error, 16), hungUp: make(chan struct{}, 64), loader: &loader{}}
	v := &fleet.View{Upstreams: make(map[string]*fleet.Upstream), Evacuated: map[string]bool{}, Members: map[string]fleet.Member{}}
	c := &fleet.Config{
		Version: 1, Services: map[string]fleet.Service{"s": {Name: "s"}, "engines": {Name: "engines", Engine: &fleet.Engine{
			WeightsMB: 100, MaxAdapters: 4, Models: map[string]fleet.Model{
				"m": {Name: "m", WeightsMB: 50}, "s": {Name: "s", WeightsMB: 50, FromStore: 6 * time.Second},
			},
		}}},
		Limits: fleet.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 4000},
		Teams:  []fleet.Team{{Name: "blue", Keys: []string{"key"}}, {Name: "poor", Keys: []string{"poor"}, Rate: 1, Burst: 100, PlainTokens: 60}},
	}
	for _, r := range routes {
		r.Host = "h.example"
		if r.Timeout == 0 {
			r.Timeout = 5 * time.Second
		}
		if r.Targets == nil {
			r.Targets = []fleet.Target{{Service: "s", Weight: 1}}
		}
		c.Routes = append(c.Routes, r)
	}
	v.Config = c
	for i, s := range scripts {
		id := fmt.Sprintf("i-%d", i)
		// Data centres order the upstreams: the first is near.
		dc := "near"
		if i > 0 {
			dc = "far"
		}
		v.Upstreams[id] = &fleet.Upstream{ID: id, Service: "s", Addr: w.upstream(id, s), DataCentre: dc, Capacity: 8}
	}
	w.view, w.pool = v, upstream.NewPool("entry-0", "near", upstream.Bounds{})
	core, logs := observer.New(zap.DebugLevel)
	w.logs = logs
	dialect := countingDialect{read: &w.accepted}
	w.gateway = gateway.New(gateway.Options{
		Dialect: dialect, Pool: w.pool,
		Exchange: exchange.NewClient(func(h http.Header) (string, time.Duration) {
			a := dialect.Answer(h)
			return a.RequestID, a.KeepAlive
		}),
		Quota:   tokenquota.NewBank("entry-0", tokenquota.Bounds{Window: time.Second}, nil),
		Repeats: retrybudget.New(retrybudget.Bounds{Slack: 50, Window: time.Second}),
		Loader:  w.loader, Machine: w.machine, DataCentre: "near", Logger: zap.New(core), Stats: gateway.NewStats(metrics.NewSet()),
	})
	w.gateway.Update(v)
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second, Verbatim: true})
	h.Any("/*path", w.gateway.Serve)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	w.addr = ln.Addr().String()
	return w
}

// engines turns the upstreams into engines with agents; the first holds model m,
// all have it on disk, and none has model s.
func (w *world) engines() {
	v := *w.view
	v.Upstreams, v.Members = make(map[string]*fleet.Upstream), make(map[string]fleet.Member)
	for id, u := range w.view.Upstreams {
		e := *u
		e.Service, e.Holdings = "engines", &fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"m"}}
		if id == "i-0" {
			e.Holdings.Adapters["m"] = nil
		}
		v.Upstreams[id] = &e
		v.Members["agent-"+id] = fleet.Member{Name: "agent-" + id, Role: fleet.RoleAgent, Addr: "127.0.0.1:1", UpstreamAddr: u.Addr}
	}
	w.gateway.Update(&v)
}

// testPatience bounds every wait of these tests; each takes milliseconds.
const testPatience = 10 * time.Second

// eventually polls until f is true. It may be called from any goroutine.
func (w *world) eventually(what string, f func() bool) {
	for end := time.Now().Add(testPatience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Errorf("not within %s: %s", testPatience, what)
			return
		}
	}
}

// waitIdle waits until the gateway has ended, and logged, what callers sent.
func (w *world) waitIdle() {
	w.eventually("end of all requests", func() bool { return w.machine.Running() == 0 })
}

// upstream serves a scripted upstream and returns its address.
func (w *world) upstream(id string, s script) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(w.t).NoErr(err)
	if s == nil {
		// Nobody listens at the address of an upstream without a script.
		is.New(w.t).NoErr(ln.Close())
		return ln.Addr().String()
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns++
			w.mu.Unlock()
			go w.serve(id, c, s)
		}
	}()
	return ln.Addr().String()
}

func (w *world) serve(id string, c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		var raw bytes.Buffer
		req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(r, &raw)))
		if err != nil {
			select {
			case w.closed <- err:
			default:
			}
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		head, _, _ := strings.Cut(raw.String(), "\r\n")
		a := arrival{upstream: id, head: head, header: req.Header, body: string(body)}
		w.mu.Lock()
		w.arrivals = append(w.arrivals, a)
		w.mu.Unlock()
		if !s(c, a) {
			_ = c.Close()
			select {
			case w.hungUp <- struct{}{}:
			default:
			}
			return
		}
	}
}

func (w *world) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

func (w *world) connections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conns
}

// answer is a caller's answer; err tells that it ended early.
type answer struct {
	status int
	header http.Header
	body   string
	// close tells that the connection ends with the answer.
	close bool
	err   error
}

// send sends a request on a connection of its own.
func (w *world) send(method, path, body string, header ...string) answer {
	check := is.New(w.t)
	c, err := net.Dial("tcp", w.addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	w.write(c, method, path, body, header...)
	return w.read(c, method)
}

func (w *world) write(c net.Conn, method, path, body string, header ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nJacinthbend-Request-Id: r1\r\n", method, path)
	if !strings.Contains(strings.Join(header, ""), "Jacinthbend-Deadline-Ms") {
		b.WriteString("Jacinthbend-Deadline-Ms: 3000\r\n")
	}
	if !strings.Contains(strings.Join(header, ""), "X-Api-Key") {
		b.WriteString("X-Api-Key: key\r\n")
	}
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.Write([]byte(b.String()))
	is.New(w.t).NoErr(err)
}

func (w *world) read(c net.Conn, method string) answer {
	check := is.New(w.t)
	check.NoErr(c.SetReadDeadline(time.Now().Add(8 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), close: resp.Close, err: err}
}

// whole answers with a status and a body under the upstream's stamp.
func whole(status int, body string, header ...string) script {
	return func(c net.Conn, _ arrival) bool {
		_, err := c.Write([]byte(head(status, "r1", header...) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
		return err == nil
	}
}

func head(status int, id string, header ...string) string {
	s := fmt.Sprintf("HTTP/1.1 %d %s\r\nJacinthbend-Server-Stamp: st\r\nJacinthbend-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), id)
	for _, h := range header {
		s += h + "\r\n"
	}
	return s
}

// notRun is an upstream's statement that it did not run the request.
func notRun(status int) script {
	return func(c net.Conn, _ arrival) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nJacinthbend-Not-Executed: 1\r\nJacinthbend-Request-Id: r1\r\nContent-Length: 0\r\n\r\n", status)
		return err == nil
	}
}

// hangUp closes the connection without an answer.
func hangUp(net.Conn, arrival) bool { return false }

// raw answers with bytes and closes the connection.
func raw(s string) script {
	return func(c net.Conn, _ arrival) bool {
		_, _ = c.Write([]byte(s))
		return false
	}
}

// chunks answers with a chunked stream; with end unset it breaks off.
func chunks(end bool, parts ...string) script {
	return func(c net.Conn, _ arrival) bool {
		s := head(200, "r1", "Content-Type: text/event-stream", "Jacinthbend-Weights-Version: 4", "Transfer-Encoding: chunked") + "\r\n"
		for _, p := range parts {
			s += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if end {
			s += "0\r\n\r\n"
		}
		_, err := c.Write([]byte(s))
		return end && err == nil
	}
}
