package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sort"
	"sync"
	"time"
)

// The quota of the tenant, in tokens, and the bounds of the site.
const (
	quotaRate   = 80000.0
	quotaBurst  = 80000.0
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 110000.0
	// Tokens of one request.
	tokensIn, tokensOut = 9190, 100
)

// Traffic, in requests a second. The tenant sends hotFactor times its usual from hotFrom to hotTo.
const (
	usualChats, usualDrafts = 2.5, 2.5
	hotFactor               = 6.0
	hotFrom, hotTo          = 6200 * time.Millisecond, 17 * time.Second
	refundsEnd              = 20 * time.Second
	// At batchAt, other users ask for a batch of long drafts at once, burstFactor times as many in a burst.
	batchAt     = 6 * time.Second
	usualBatch  = 13
	burstFactor = 2.4
	// chatWork, draftWork and longWork are how long a server takes.
	chatWork, draftWork, longWork = 30 * time.Millisecond, 30 * time.Millisecond, 4800 * time.Millisecond
	draftDeadline                 = 11 * time.Second
)

// refunds counts, in each window, what runs of a tenant's requests.
func refunds(b *bed) (int, error) {
	for i := range 4 {
		s := newServer(fmt.Sprintf("i-%08x", 0xa0+i), "chat", zones[i], 64, chatWork, b.recorder)
		b.servers = append(b.servers, s)
	}
	for i := range 3 {
		s := newServer(fmt.Sprintf("i-%08x", 0xb0+i), "drafts", zones[i], 6, draftWork, b.recorder)
		s.longWork, s.tellsRetryAfter = longWork, true
		b.servers = append(b.servers, s)
	}
	for _, s := range b.servers {
		if err := s.start(loopback(3)); err != nil {
			return 0, err
		}
	}
	route := func(name, service, kind string) map[string]any {
		return map[string]any{"name": name, "host": "shop.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": 11000, "slo_ms": 2000, "priority": 2, "attempts": 2}
	}
	config, err := json.Marshal(map[string]any{
		"version":  7,
		"routes":   []any{route("chat", "chat", "idempotent"), route("drafts", "drafts", "non_idempotent")},
		"services": []any{map[string]any{"name": "chat", "health_path": "/health", "max_conns": 370}, map[string]any{"name": "drafts", "health_path": "/health", "max_conns": 370}},
		"limits":   map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []any{
			map[string]any{"name": "hot", "api_keys": []string{"k-hot"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": quotaRate, "burst_size": quotaBurst},
			map[string]any{"name": "others", "api_keys": []string{"k-others"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst_size": 0},
		},
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
	b.logf("4 entry instances ready")
	ends := &endCounts{n: make(map[string]int)}
	var clients sync.WaitGroup
	hot := period{hotFrom, hotTo, hotFactor}
	clients.Go(func() { b.sendTraffic(traffic{began, "chat", "/chat/x", "k-hot", usualChats, hot}, &clients, ends) })
	clients.Go(func() {
		b.sendTraffic(traffic{began, "drafts", "/drafts/x", "k-hot", usualDrafts, hot}, &clients, ends)
	})
	batch := usualBatch
	if b.trouble {
		batch = int(math.Floor(burstFactor * usualBatch))
	}
	time.Sleep(time.Until(began.Add(batchAt)))
	b.logf("other users ask for %d long drafts at once", batch)
	for i := range batch {
		clients.Go(func() {
			b.send(b.entries[i%len(b.entries)], fmt.Sprintf("l%06x", i), longPath, draftDeadline, "X-Api-Key", "k-others", "Jacinthbend-Token-Count", fmt.Sprintf("%d,%d", tokensIn, tokensOut))
		})
	}
	clients.Wait()
	b.logf("answers: %v", ends.n)
	return b.judgeQuota(began)
}

// endCounts counts answers by route and status.
type endCounts struct {
	mu sync.Mutex
	n  map[string]int
}

// period is when traffic is factor times its usual.
type period struct {
	from, to time.Duration
	factor   float64
}

// traffic is requests of one kind, usual of them a second.
type traffic struct {
	began           time.Time
	name, path, key string
	usual           float64
	peak            period
}

// sendTraffic sends requests at regular intervals, to one instance after the other.
func (b *bed) sendTraffic(t traffic, clients *sync.WaitGroup, ends *endCounts) {
	for n := 0; time.Since(t.began) < refundsEnd; n++ {
		rate := t.usual
		if at := time.Since(t.began); b.trouble && at >= t.peak.from && at < t.peak.to {
			rate *= t.peak.factor
		}
		clients.Go(func() {
			e := b.entries[n%len(b.entries)]
			how := b.send(e, fmt.Sprintf("%.1s%06x", t.name, n), t.path, draftDeadline, "X-Api-Key", t.key, "Jacinthbend-Token-Count", fmt.Sprintf("%d,%d", tokensIn, tokensOut))
			ends.mu.Lock()
			defer ends.mu.Unlock()
			ends.n[t.name+" "+how]++
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// judgeQuota applies the rule: in any window of 8 s, what is both sent and arrives at a server that runs it
// is at most (rate x window + burst) x 1.1 + slack. Requests that waited here were sent before they
// arrived, so they are counted only if they were sent inside the window, too.
func (b *bed) judgeQuota(began time.Time) (int, error) {
	var runs []arrival
	for _, a := range b.recorder.all() {
		if a.tenant == "hot" && a.status != http.StatusServiceUnavailable {
			runs = append(runs, a)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, from := 0, began
	for i, first := range runs {
		sum := 0
		for _, a := range runs[i:] {
			if a.at.Before(first.at.Add(quotaWindow)) && !b.sentAt(a.id).Before(first.at) {
				sum += a.tokens
			}
		}
		if sum > most {
			most, from = sum, first.at
		}
	}
	for _, a := range runs {
		b.logf("\tserver %s runs %s at %.3f s, %d tokens", a.server, a.id, a.at.Sub(b.began).Seconds(), a.tokens)
	}
	b.logf("%d requests of the tenant ran", len(runs))
	if len(runs) == 0 {
		return cannotRun, errors.New("no request of the tenant ran")
	}
	b.logf("QUOTA, worst window: from %.3f s: %d tokens ran in 8 s, allowed %.0f", from.Sub(b.began).Seconds(), most, allowed)
	if float64(most) > allowed {
		return broken, nil
	}
	return held, nil
}
