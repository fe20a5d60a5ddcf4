package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Engine is a stand-in of a model server (PROTOCOL.md, "Requests" and "Model placement"). It crashes
// when it is ordered to load more than it holds.
type Engine struct {
	o      EngineOptions
	addr   string
	born   int64
	server *http.Server

	mu       sync.Mutex
	models   map[string][]string
	pending  []string
	loading  string
	busy     bool
	crashed  bool
	sequence int64
	running  int
}

// EngineOptions are the sizes of an engine, in MB, and its times.
type EngineOptions struct {
	ID, Service         string
	WeightsMB           float64
	Models              map[string]float64
	AdapterMB           float64
	MaxAdapters         int
	Held                map[string][]string
	OnDisk              []string
	LoadTime, AdaptTime time.Duration
	Events              int
	EventTime           time.Duration
	// OnCrash is called when an order overloads the engine.
	OnCrash func(why string)
}

func newEngine(store *Store, o EngineOptions) *Engine {
	e := &Engine{o: o, born: time.Now().UnixMilli(), models: o.Held}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Jacinthbend-Instance-Id", o.ID) })
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("/-/", http.NotFound)
	mux.HandleFunc("/", e.run)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e.addr, e.server = ln.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(ln) }()
	store.put("keyed.servers", o.ID, map[string]any{
		"service": o.Service, "address": e.addr, "zone": "gau-a", "version": "1", "capacity": 64, "state": "ready", "cold_left_ms": 0, "sequence": 0, "born": e.born,
		"stage": "both", "models": e.held(), "at_hand": map[string][]string{"in_memory": {}, "on_disk": o.OnDisk},
	})
	return e
}

func (e *Engine) held() []map[string]any {
	out := []map[string]any{}
	for m, adapters := range e.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": append([]string{}, adapters...)})
	}
	return out
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.held(), "at_hand": map[string][]string{"in_memory": {}, "on_disk": e.o.OnDisk}, "busy": e.busy, "sequence": e.sequence,
		"queued": 0, "running": e.running, "born": e.born, "pending": append([]string{}, e.pending...), "state": "ready",
	})
}

// checkMemory crashes the engine if what it holds and the model that it was ordered to load are more than it
// holds. Adapters on their way count toward the number of adapters, and toward the memory once they are there.
func (e *Engine) checkMemory() {
	mb, adapters := e.o.Models[e.loading], 0
	for m, as := range e.models {
		mb += e.o.Models[m] + float64(len(as))*e.o.AdapterMB
		adapters += len(as)
	}
	adapters += len(e.pending)
	if e.crashed || mb <= e.o.WeightsMB && adapters <= e.o.MaxAdapters {
		return
	}
	e.crashed = true
	why := fmt.Sprintf("%.0f MB of %.0f and %d adapters of %d; models %v, loading %q, adapters on their way %v",
		mb, e.o.WeightsMB, adapters, e.o.MaxAdapters, e.models, e.loading, e.pending)
	record("engine %s crashes: %s", e.o.ID, why)
	if e.o.OnCrash != nil {
		e.o.OnCrash(why)
	}
	go func() { _ = e.server.Close() }()
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter, Holder string
		Expected, Fence            int64
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	name := o.Model + "/" + o.Adapter
	status := http.StatusAccepted
	switch {
	case err != nil || o.Fence == 0 || o.Holder == "":
		status = http.StatusBadRequest
	case r.Header.Get("Jacinthbend-Expect-Instance") != e.o.ID:
		status = http.StatusMisdirectedRequest
	case e.busy || o.Expected != e.sequence:
		status = http.StatusConflict
	case o.Op == "load" && o.Adapter == "" && e.models[o.Model] != nil, o.Op == "load" && o.Adapter != "" && (slices.Contains(e.models[o.Model], o.Adapter) || slices.Contains(e.pending, name)):
		status = http.StatusOK
	case o.Op == "unload" && o.Adapter != "":
		status = http.StatusOK
		e.models[o.Model] = slices.DeleteFunc(e.models[o.Model], func(a string) bool { return a == o.Adapter })
		e.sequence++
	}
	record("engine %s: order %s %s %s, expected %d: %d", e.o.ID, o.Op, o.Model, o.Adapter, o.Expected, status)
	w.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	e.sequence++
	switch {
	case o.Op == "unload":
		delete(e.models, o.Model)
	case o.Adapter != "":
		e.pending = append(e.pending, name)
		time.AfterFunc(e.o.AdaptTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.pending = slices.DeleteFunc(e.pending, func(p string) bool { return p == name })
			e.models[o.Model] = append(e.models[o.Model], o.Adapter)
			e.checkMemory()
		})
	default:
		e.busy, e.loading = true, o.Model
		time.AfterFunc(e.o.LoadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.loading = false, ""
			e.models[o.Model] = []string{}
		})
	}
	e.checkMemory()
}

// run answers with a stream.
func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("Jacinthbend-Request-Id")
	model, adapter, _ := strings.Cut(r.Header.Get("Jacinthbend-Model"), "/")
	w.Header().Set("Jacinthbend-Request-Id", id)
	e.mu.Lock()
	adapters, held := e.models[model]
	held = held && (adapter == "" || slices.Contains(adapters, adapter)) && r.Header.Get("Jacinthbend-Expect-Instance") == e.o.ID
	if held {
		e.running++
	}
	e.mu.Unlock()
	if !held {
		w.Header().Set("Jacinthbend-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	record("engine %s runs %s", e.o.ID, id)
	w.Header().Set("Jacinthbend-Server-Stamp", "stamp-"+id)
	w.Header().Set("Jacinthbend-Weights-Version", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= e.o.Events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.o.EventTime):
		}
	}
}
