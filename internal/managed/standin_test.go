package managed

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// storeStandIn is the platform's store, as far as the roles use it.
type storeStandIn struct {
	*httptest.Server
	mu     sync.Mutex
	topics map[string][]storeRecord
	down   bool
	// refused counts calls during outages.
	refused int
}

type storeRecord struct {
	key   string
	value []byte
}

func newStoreStandIn(t *testing.T) *storeStandIn {
	s := &storeStandIn{topics: make(map[string][]storeRecord)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("POST /-/log-append", s.append)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		if down {
			s.refused++
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *storeStandIn) addr() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *storeStandIn) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, []byte(value)})
}

// set begins or ends an outage and returns the calls refused so far.
func (s *storeStandIn) set(down bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	return s.refused
}

func (s *storeStandIn) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func (s *storeStandIn) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]item)
	for i, rec := range records {
		newest[rec.key] = item{rec.key, rec.value, i}
	}
	items := []item{}
	for _, it := range newest {
		if len(it.Value) > 0 {
			items = append(items, it)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(records)})
}

func (s *storeStandIn) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; {
		s.mu.Lock()
		records := s.topics[q.Get("topic")]
		s.mu.Unlock()
		if len(records) > from || !time.Now().Before(end) || r.Context().Err() != nil {
			out := make([]byte, 16)
			for _, rec := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(append(out, rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *storeStandIn) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := int(body[4])
	s.mu.Lock()
	defer s.mu.Unlock()
	topic := r.URL.Query().Get("topic")
	s.topics[topic] = append(s.topics[topic], storeRecord{string(body[5 : 5+n]), body[5+n:]})
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": len(s.topics[topic]) - 1, "end": len(s.topics[topic])})
}

// engineStandIn is a model engine that loads in a moment.
type engineStandIn struct {
	*httptest.Server
	id       string
	mu       sync.Mutex
	models   map[string][]string
	sequence int64
	fence    int64
	served   []http.Header
}

func newEngineStandIn(t *testing.T, id string, models ...string) *engineStandIn {
	e := &engineStandIn{id: id, models: make(map[string][]string)}
	for _, m := range models {
		e.models[m] = nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Jacinthbend-Instance-Id", id) })
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("/", e.run)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func (e *engineStandIn) addr() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *engineStandIn) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []map[string]any{}
	for m, as := range e.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": append([]string{}, as...)})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": models, "at_hand": map[string][]string{"in_memory": {}, "on_disk": {"m1", "m2"}},
		"busy": false, "sequence": e.sequence, "queued": 0, "running": 0, "born": 1, "pending": []string{}, "state": "ready",
	})
}

func (e *engineStandIn) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter string
		Expected, Fence    int64
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch err := json.NewDecoder(r.Body).Decode(&o); {
	case err != nil || o.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Jacinthbend-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.fence = o.Fence
	switch {
	case o.Op == "unload":
		delete(e.models, o.Model)
	case o.Adapter != "":
		e.models[o.Model] = append(e.models[o.Model], o.Adapter)
	default:
		e.models[o.Model] = nil
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *engineStandIn) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.served = append(e.served, r.Header.Clone())
	model, adapter, _ := strings.Cut(r.Header.Get("Jacinthbend-Model"), "/")
	adapters, held := e.models[model]
	e.mu.Unlock()
	w.Header().Set("Jacinthbend-Request-Id", r.Header.Get("Jacinthbend-Request-Id"))
	if !held || adapter != "" && !strings.Contains(" "+strings.Join(adapters, " ")+" ", " "+adapter+" ") {
		w.Header().Set("Jacinthbend-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Jacinthbend-Server-Stamp", "st")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		w.(http.Flusher).Flush()
	}
}

// freePorts returns the first of n ports that nobody listens on, below the
// range of outgoing connections.
func freePorts(t *testing.T, n int) int {
	for base := 18000 + int(time.Now().UnixNano()%7000); base < 30000; base += n {
		var open []net.Listener
		for i := range n {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				break
			}
			open = append(open, ln)
		}
		for _, ln := range open {
			_ = ln.Close()
		}
		if len(open) == n {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}
