package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pending"] = pendingAdapters }

const (
	modelMB   = 72700.0
	adapterMB = 66.0
)

// engineConfig returns a configuration with a service of model servers.
func engineConfig(version int, weightsMB float64, maxAdapters int) map[string]any {
	c := config(version)
	models := []any{}
	for _, m := range []string{"ma", "mb", "mc"} {
		models = append(models, map[string]any{"name": m, "weights_mb": modelMB, "load_s": 6, "warm_s": 0.4, "disk_s": 0.84, "adapters": 15, "adapter_mb": adapterMB})
	}
	c["services"] = append(c["services"].([]any), map[string]any{"name": "wording-models", "health_path": "/health", "max_conns": 360, "engine": map[string]any{
		"capacity": 64, "weights_mb": weightsMB, "max_adapters": maxAdapters, "loads_per_s": 1.6, "models": models,
	}})
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "plaque", "host": "kiosk.example", "path_prefix": "/plaque/", "kind": "streaming", "timeout_ms": 15000, "slo_ms": 2500, "gap_aim_ms": 500, "priority": 1, "service": "wording-models", "attempts": 2, "affinity": true,
	})
	return c
}

// pendingAdapters asks for a model that no engine holds and for adapters of another one, at once or one
// after the other.
func pendingAdapters(dir string, trouble bool) (broken bool) {
	const weightsMB = 3*modelMB + 4.5*adapterMB
	store, err := newStore()
	check(err)
	store.put("keyed.op", "config", engineConfig(1, weightsMB, 8))
	engine := newEngine(store, EngineOptions{
		ID: "i-words-1", Service: "wording-models", WeightsMB: weightsMB, Models: map[string]float64{"ma": modelMB, "mb": modelMB, "mc": modelMB}, AdapterMB: adapterMB, MaxAdapters: 8,
		Held: map[string][]string{"ma": {"a1", "a2", "a3", "a4"}, "mb": {}}, OnDisk: []string{"ma", "mb", "mc"}, LoadTime: 840 * time.Millisecond, AdaptTime: 5 * time.Millisecond,
		Events: 9, EventTime: 100 * time.Millisecond, OnCrash: func(string) { broken = true },
	})
	a := newAgent(dir, "side-gau-a-1", store, engine.addr, "wording-models")
	a.start()
	e := newEntry(dir, "edge-gau-a-1", store.addr, true)
	e.start()
	e.waitReady()
	time.Sleep(2500 * time.Millisecond) // until the entry instance has the states of the agent
	var wg sync.WaitGroup
	wg.Go(func() { stream(e.caller, "s-running", "mb") })
	time.Sleep(150 * time.Millisecond)
	for i, m := range []string{"ma/a5", "ma/a6", "mc", "ma/a7", "ma/a8"} {
		if !trouble {
			stream(e.caller, fmt.Sprintf("s-%d", i), m)
			continue
		}
		wg.Go(func() { stream(e.caller, fmt.Sprintf("s-%d", i), m) })
	}
	wg.Wait()
	return broken
}

// stream asks for a stream of a model and records what comes.
func stream(addr, id, model string) string {
	c, err := net.Dial("tcp", addr)
	check(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /plaque/1 HTTP/1.1\r\nHost: kiosk.example\r\nJacinthbend-Request-Id: %s\r\nX-Api-Key: key-kiosks\r\nJacinthbend-Deadline-Ms: 15000\r\n"+
		"Jacinthbend-Model: %s\r\nJacinthbend-Token-Count: 2890,54\r\nContent-Length: 5\r\n\r\nhello", id, model)
	check(err)
	record("client sends %s for %s", id, model)
	_ = c.SetReadDeadline(time.Now().Add(16 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		record("client of %s got no answer: %v", id, err)
		return ""
	}
	body, err := io.ReadAll(resp.Body)
	record("client of %s got %d, stamp %q, %d bytes, %v", id, resp.StatusCode, resp.Header.Get("Jacinthbend-Server-Stamp"), len(body), err)
	return string(body)
}
