package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in of the servers of a plain service, such as kiosk-app.
type Service struct {
	id, addr string
	work     time.Duration

	mu   sync.Mutex
	runs map[string]int
	at   map[string]time.Time
}

func newService(store *Store, id, service string, work time.Duration) *Service {
	s := &Service{id: id, work: work, runs: make(map[string]int), at: make(map[string]time.Time)}
	var err error
	s.addr, err = serve(s)
	check(err)
	store.put("keyed.servers", id, map[string]any{
		"service": service, "address": s.addr, "zone": "gau-a", "version": "1", "capacity": 64, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return s
}

func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Jacinthbend-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Jacinthbend-Request-Id")
	w.Header().Set("Jacinthbend-Request-Id", id)
	if e := r.Header.Get("Jacinthbend-Expect-Instance"); e != "" && e != s.id {
		w.Header().Set("Jacinthbend-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	if s.runs[id] == 1 {
		s.at[id] = time.Now()
	}
	s.mu.Unlock()
	record("server %s runs %s (%d bytes)", s.id, id, len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		record("server %s: the connection of %s was closed", s.id, id)
		return
	}
	w.Header().Set("Jacinthbend-Server-Stamp", "stamp-"+id)
	fmt.Fprintf(w, "receipt of %s", id)
}

// arrivals returns when requests first began to run.
func (s *Service) arrivals() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.at)
}

// config returns a configuration with a plain service of which one route may be repeated.
func config(version int) map[string]any {
	route := func(name, path, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "kiosk.example", "path_prefix": path, "kind": kind, "timeout_ms": 1500, "slo_ms": 150, "priority": 2, "service": "kiosk-app", "attempts": attempts}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("purchase", "/purchase/", "non_idempotent", 1), route("lookup", "/lookup/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "kiosk-app", "health_path": "/health", "max_conns": 400}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 30000},
		"tenants":  []any{map[string]any{"name": "kiosks", "api_keys": []string{"key-kiosks"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 1e7, "burst_size": 1e7}},
	}
}
