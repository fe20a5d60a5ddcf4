package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// crashPath is the path of the request that crashes each server that begins to run it, and crashDownTime
// how long a server is then down.
const (
	crashPath     = "/status/crash"
	crashDownTime = 3 * time.Second
	// longPath is the path of requests that take long.
	longPath = "/drafts/long"
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	path   string
	status int // 0 if the server crashed
	tenant string
	tokens int
}

// recorder collects what the servers saw.
type recorder struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (r *recorder) add(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *recorder) all() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// server is a stand-in of a server of a plain service, with a few slots.
type server struct {
	id, service, zone string
	addr              string
	work              time.Duration
	// longWork is the time of requests to longPath.
	longWork time.Duration
	// tellsRetryAfter tells that the server adds Retry-After when it is full: the seconds until it expects
	// the next slot to be free, at least 1.
	tellsRetryAfter bool
	recorder        *recorder
	slots           chan struct{}

	mu   sync.Mutex
	born int64
	// ends are when the running requests end.
	ends []time.Time
	// crashes counts the crashes, and down tells that the server has not started again.
	crashes int
	down    bool
	ln      net.Listener
	conns   map[net.Conn]bool
}

func newServer(id, service, zone string, slots int, work time.Duration, rec *recorder) *server {
	return &server{id: id, service: service, zone: zone, work: work, recorder: rec, slots: make(chan struct{}, slots), born: time.Now().UnixMilli()}
}

// start listens at a free port of ip and serves until the process ends.
func (s *server) start(ip string) error {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.addr = ln.Addr().String()
	s.serve(ln)
	return nil
}

func (s *server) serve(ln net.Listener) {
	s.mu.Lock()
	s.ln, s.conns = ln, make(map[net.Conn]bool)
	s.mu.Unlock()
	h := &http.Server{Handler: s, IdleTimeout: 20 * time.Second, ConnState: s.track}
	go func() { _ = h.Serve(ln) }()
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// crash ends the server: its connections and its listener are closed. After downTime it starts again
// at its address as another instance.
func (s *server) crash(downTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.crashes++
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	time.AfterFunc(downTime, s.restart)
}

func (s *server) restart() {
	for {
		ln, err := net.Listen("tcp", s.addr)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.id = fmt.Sprintf("%.10s-%d", s.id, s.crashes)
		s.born, s.down = time.Now().UnixMilli(), false
		s.mu.Unlock()
		s.serve(ln)
		return
	}
}

func (s *server) identity() (id string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.down
}

// entry returns the server's entry in the store.
func (s *server) entry() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "1", "capacity": cap(s.slots), "state": "ready", "cold_left_ms": 0, "sequence": 0, "born": s.born})
	return string(data)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	own, _ := s.identity()
	h.Set("Jacinthbend-Instance-Id", own)
	h.Set("Jacinthbend-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	id := r.Header.Get("Jacinthbend-Request-Id")
	if id != "" {
		h.Set("Jacinthbend-Request-Id", id)
	}
	if want := r.Header.Get("Jacinthbend-Expect-Instance"); want != "" && want != own {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	in, out := 0, 0
	_, _ = fmt.Sscanf(r.Header.Get("Jacinthbend-Token-Count"), "%d,%d", &in, &out)
	a := arrival{at: time.Now(), server: own, id: id, path: r.URL.Path, tenant: r.Header.Get("Jacinthbend-Tenant"), tokens: in + out}
	select {
	case s.slots <- struct{}{}:
	default:
		a.status = http.StatusServiceUnavailable
		s.recorder.add(a)
		h.Set("Jacinthbend-Not-Executed", "1")
		if s.tellsRetryAfter {
			h.Set("Retry-After", strconv.Itoa(s.nextFree()))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	if r.URL.Path == crashPath {
		s.recorder.add(a)
		s.crash(crashDownTime)
		return
	}
	a.status = http.StatusOK
	s.recorder.add(a)
	work := s.work
	if r.URL.Path == longPath {
		work = s.longWork
	}
	s.runFor(work)
	h.Set("Jacinthbend-Server-Stamp", "stamp-"+own+"-"+id)
	_, _ = io.WriteString(w, "answer of "+own+" to "+id)
}

// runFor works on a request for d.
func (s *server) runFor(d time.Duration) {
	end := time.Now().Add(d)
	s.mu.Lock()
	s.ends = append(s.ends, end)
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = slices.DeleteFunc(s.ends, func(t time.Time) bool { return t.Equal(end) })
}

// nextFree returns in how many whole seconds a slot is free, at least 1.
func (s *server) nextFree() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ends) == 0 {
		return 1
	}
	first := slices.MinFunc(s.ends, time.Time.Compare)
	return max(1, int(time.Until(first)/time.Second))
}
