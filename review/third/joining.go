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

func init() { cases["joining"] = joining }

// The tenant's quota, near that of the largest tenant of a day, and the bound of the rule.
const (
	quotaWindow   = 8 * time.Second
	quotaRate     = 120000.0
	quotaBurst    = 320000.0
	quotaTokens   = 8000.0 // of each request
	quotaAllowed  = (quotaRate*8+quotaBurst)*1.1 + 110000
	usualPerS     = quotaRate / 1.8 / quotaTokens // the sheet's quotas are 1.8 times what a tenant usually sends
	hotFactor     = 7.5
	hotFrom       = 4200 * time.Millisecond
	turnedAwayAt  = 10500 * time.Millisecond
	joinAt        = 10700 * time.Millisecond
	turnedAwayFor = 7 * time.Second
	joiningEnds   = 23 * time.Second
	turnedAway    = "edge-gau-b-1"
)

// load sends requests of the tenant, spread evenly over entry instances.
type load struct {
	mu      sync.Mutex
	entries []*Process
	sent    int
	sentAt  map[string]time.Time
	answers map[string]int
}

func (l *load) run(perS float64, until time.Time) {
	var wg sync.WaitGroup
	for next := time.Now(); next.Before(until); next = next.Add(time.Duration(float64(time.Second) / perS)) {
		time.Sleep(time.Until(next))
		l.mu.Lock()
		l.sent++
		e, id := l.entries[l.sent%len(l.entries)], fmt.Sprintf("q-%d", l.sent)
		l.sentAt[id] = time.Now()
		l.mu.Unlock()
		wg.Go(func() {
			a := lookup(e.caller, id)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers[a]++
		})
	}
	wg.Wait()
}

// lookup sends a request that may be repeated and returns what was answered.
func lookup(addr, id string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "GET /lookup/1 HTTP/1.1\r\nHost: kiosk.example\r\nJacinthbend-Request-Id: %s\r\nX-Api-Key: key-kiosks\r\nJacinthbend-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return fmt.Sprint(resp.StatusCode)
}

// joining starts four entry instances, to which three others are added while one tenant sends many times its usual
// and the store turns one of the four away.
func joining(dir string, trouble bool) bool {
	store, err := newStore()
	check(err)
	c := config(1)
	c["tenants"] = []any{map[string]any{"name": "kiosks", "api_keys": []string{"key-kiosks"}, "unit": "tokens", "plain_tokens": quotaTokens, "rate_per_s": quotaRate, "burst_size": quotaBurst}}
	store.put("keyed.op", "config", c)
	s := newService(store, "i-kiosk-1", "kiosk-app", 20*time.Millisecond)
	links := make(map[string]*StoreLink)
	l := &load{sentAt: make(map[string]time.Time), answers: make(map[string]int)}
	start := func(name string, first bool) *Process {
		links[name] = store.link(name)
		e := newEntry(dir, name, links[name].addr, first)
		e.start()
		return e
	}
	for _, name := range []string{"edge-gau-a-1", "edge-gau-a-2", "edge-gau-b-1", "edge-gau-c-1"} {
		l.entries = append(l.entries, start(name, true))
	}
	for _, e := range l.entries {
		e.waitReady()
	}
	t0 := time.Now()
	at := func(d time.Duration, f func()) { time.AfterFunc(d-time.Since(t0), f) }
	if trouble {
		at(turnedAwayAt, func() { links[turnedAway].turnAway(turnedAwayFor) })
	}
	at(joinAt, func() {
		var added []*Process
		for _, name := range []string{"edge-gau-a-3", "edge-gau-b-2", "edge-gau-c-2"} {
			added = append(added, start(name, false))
		}
		for _, e := range added {
			e.waitReady()
		}
		record("three machines were added")
		l.mu.Lock()
		defer l.mu.Unlock()
		l.entries = append(l.entries, added...)
	})
	l.run(usualPerS, t0.Add(hotFrom))
	record("the tenant sends %.1f times its usual", hotFactor)
	l.run(usualPerS*hotFactor, t0.Add(joiningEnds))
	record("%d requests, answers %v", l.sent, l.answers)
	most, from := mostInWindow(l.sentAt, s.arrivals(), quotaWindow)
	record("from %.3f s on, %.0f tokens ran in 8 s; %.0f are allowed", from, most, quotaAllowed)
	return most > quotaAllowed
}

// mostInWindow returns the most tokens of requests that were both sent and arrived in a window, and when that
// began. A request counts once.
func mostInWindow(sentAt, arrivedAt map[string]time.Time, window time.Duration) (most, from float64) {
	for first := range arrivedAt {
		n, start := 0, sentAt[first]
		for id, at := range arrivedAt {
			if !sentAt[id].Before(start) && at.Sub(start) < window {
				n++
			}
		}
		if tokens := quotaTokens * float64(n); tokens > most {
			most, from = tokens, start.Sub(began).Seconds()
		}
	}
	return most, from
}
