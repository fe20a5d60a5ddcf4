package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

const (
	// contact is contact_ms of the site, and maxCrashRetries how many retries of a request reach servers
	// at most once it has crashed three.
	contact         = 3 * time.Second
	maxCrashRetries = 3
	// crashInterval is how often the harmful request comes again after its first three times.
	crashInterval = 3100 * time.Millisecond
	// One machine is cut off from the store from outageFrom to outageTo, and its process is killed at killAt.
	outageFrom = 4 * time.Second
	outageTo   = 8500 * time.Millisecond
	killAt     = 7200 * time.Millisecond
	crashEnd   = 62 * time.Second
)

// crashReports counts how often a request that crashes servers reaches them after it has crashed three.
func crashReports(b *bed) (int, error) {
	for i := range 8 {
		s := newServer(fmt.Sprintf("i-%08x", 0xa0+i), "order-desk", zones[i%len(zones)], 6, 20*time.Millisecond, b.recorder)
		if err := s.start(loopback(3)); err != nil {
			return 0, err
		}
		b.servers = append(b.servers, s)
	}
	config, err := json.Marshal(map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "status-lookup", "host": "shop.example", "path_prefix": "/status/", "kind": "idempotent", "service": "order-desk", "timeout_ms": 800, "slo_ms": 300, "priority": 2, "attempts": 1, "public": true}},
		"services": []any{map[string]any{"name": "order-desk", "health_path": "/health", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	if err != nil {
		return 0, err
	}
	b.store.put("keyed.op", "config", string(config))
	b.heartbeat(1200 * time.Millisecond)
	if err := b.startEntries(4); err != nil {
		return 0, err
	}
	began := time.Now()
	touch := &touchTimes{}
	if b.trouble {
		cut := b.entries[0]
		// TROUBLE=cut and TROUBLE=kill leave the other disruption out.
		only := os.Getenv("TROUBLE")
		if only != "kill" {
			time.AfterFunc(outageFrom, func() {
				b.store.setCutOff(cut.storeAddr, true)
				b.logf("the store resets all calls of %s", cut.name)
			})
			time.AfterFunc(outageTo, func() {
				b.store.setCutOff(cut.storeAddr, false)
				b.logf("the store serves %s again", cut.name)
				touch.note(time.Now())
			})
		}
		if only != "cut" {
			time.AfterFunc(killAt, func() {
				b.restart(cut)
				touch.note(time.Now())
			})
		}
	}
	for n := 0; ; n++ {
		at := crashTime(n)
		if at > crashEnd {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		// The platform selects the node by a hash of the client.
		e := b.entries[0]
		how := b.send(e, fmt.Sprintf("c%06x", n), crashPath, deadline)
		b.logf("the harmful request at %s: %s", e.name, how)
		// Ordinary requests go on meanwhile.
		for k := range 8 {
			_ = b.send(b.entries[k%len(b.entries)], fmt.Sprintf("o%06x%02x", n, k), "/status/x", deadline)
		}
	}
	for _, e := range b.entries {
		if !e.isReady() {
			return cannotRun, fmt.Errorf("%s is not ready at the end", e.name)
		}
	}
	return b.judgeCrashes(touch)
}

// crashTime is when the harmful request comes for the time n: three times in a row, and then at intervals.
func crashTime(n int) time.Duration {
	first := []time.Duration{4200 * time.Millisecond, 5400 * time.Millisecond, 6600 * time.Millisecond}
	if n < len(first) {
		return first[n]
	}
	return 12*time.Second + time.Duration(n-len(first))*crashInterval
}

// touchTimes has when a disruption of the machine ended last.
type touchTimes struct {
	mu   sync.Mutex
	last time.Time
}

func (t *touchTimes) note(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.last) {
		t.last = at
	}
}

// judgeCrashes applies the rule: a request that crashes the servers that run it reaches servers in at most
// three retries, sent by machines in touch later than contact_ms after it has crashed the third.
func (b *bed) judgeCrashes(touch *touchTimes) (int, error) {
	arrivals := b.recorder.all()
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	var third time.Time
	crashes, retries, ordinary := 0, 0, 0
	for _, a := range arrivals {
		if a.path != crashPath {
			ordinary++
			continue
		}
		crashes++
		counted := ""
		switch {
		case crashes == 3:
			third = a.at
		case crashes > 3 && a.at.After(third.Add(contact)) && a.at.After(touch.last.Add(contact)):
			retries++
			counted = fmt.Sprintf(", retry %d by machines in touch", retries)
		}
		b.logf("crash %d at %.3f s: %s, request %s%s", crashes, a.at.Sub(b.began).Seconds(), a.server, a.id, counted)
	}
	b.logf("%d ordinary requests ran; BUDGET: %d retries of the harmful request reached servers, at most %d are allowed", ordinary, retries, maxCrashRetries)
	if crashes < 3 {
		return cannotRun, fmt.Errorf("the request crashed %d servers only", crashes)
	}
	if retries > maxCrashRetries {
		return broken, nil
	}
	return held, nil
}
