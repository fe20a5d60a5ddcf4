package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

func homes(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("u%04d", i)
	}
	return out
}

func newChooser() *Chooser { return New(Options{}, rand.New(rand.NewPCG(1, 2))) }

// TestExclusion guards against a retry at an upstream that refused the request,
// against requests to an upstream that fails, and against an exclusion that never
// ends.
func TestExclusion(t *testing.T) {
	for _, result := range []Result{Refused, Failed} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newChooser()
			q := Query{Homes: homes(2)}
			excluded, err := c.Choose(q)
			is.NoErr(err)
			c.Done(excluded, result)
			for range 10 {
				id, err := c.Choose(q)
				is.NoErr(err)
				is.True(id != excluded)
				c.Done(id, OK)
			}
			q.Homes = []string{excluded}
			_, err = c.Choose(q)
			is.True(errkind.Is(err, errkind.UpstreamBusy))
			time.Sleep(errkind.From(err).RetryAfter)
			_, err = c.Choose(q)
			is.NoErr(err)
			q.Tried = []string{excluded}
			_, err = c.Choose(q)
			is.True(errkind.Is(err, errkind.UpstreamBusy))
			_, err = c.Choose(Query{})
			is.True(errkind.Is(err, errkind.UpstreamUnavailable))
		})
	}
}

// TestAffinity guards against ignoring a cached prefix, against overloading the
// upstream that caches it, and against relying on cache entries after events were
// lost (F15).
func TestAffinity(t *testing.T) {
	const prefix = 7
	stored := CacheEvent{Upstream: "u0003", Seq: 1, Prefix: prefix}
	for name, c := range map[string]struct {
		events        []CacheEvent
		load          int
		prefersCached bool
	}{
		"cached":                  {[]CacheEvent{stored}, 0, true},
		"unknown":                 {nil, 0, false},
		"evicted":                 {[]CacheEvent{stored, {Upstream: "u0003", Seq: 2, Prefix: prefix, Evicted: true}}, 0, false},
		"eviction lost":           {[]CacheEvent{stored, {Upstream: "u0003", Seq: 3, Prefix: 9}}, 0, false},
		"stored again after loss": {[]CacheEvent{stored, {Upstream: "u0003", Seq: 3, Prefix: prefix}}, 0, true},
		"late duplicate":          {[]CacheEvent{{Upstream: "u0003", Seq: 2, Prefix: prefix, Evicted: true}, stored}, 0, false},
		"cached, but busy":        {[]CacheEvent{stored}, 60, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sentToCached := 0
			for seed := range uint64(100) {
				chooser := New(Options{}, rand.New(rand.NewPCG(seed, 0)))
				for _, e := range c.events {
					chooser.Cache(e)
				}
				chooser.Report(LoadReport{Upstream: "u0003", InFlight: c.load, Limit: 64})
				id, err := chooser.Choose(Query{Homes: homes(50), Prefixes: []uint64{prefix}})
				is.NoErr(err)
				if id == "u0003" {
					sentToCached++
				}
			}
			is.Equal(sentToCached == 100, c.prefersCached)
		})
	}
}

// TestRetryBudget guards against retries that amplify an overload.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewRetryBudget()
		allowed := 0
		for range 10_000 { // 1,000 per second for 10 s
			b.CountRequest()
			if b.Allow(1) {
				allowed++
			}
			time.Sleep(time.Millisecond)
		}
		is.True(allowed <= 1000+10+maxTokens)
		is.True(allowed >= 1000)
		is.True(!b.Allow(MaxAttempts))
	})
}

// BenchmarkChoose measures one Choose and one Done.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		for _, prefixes := range [][]uint64{nil, {1, 2, 3}} {
			b.Run(fmt.Sprintf("homes=%d/prefixes=%d", n, len(prefixes)), func(b *testing.B) {
				c := newChooser()
				q := Query{Homes: homes(n), Prefixes: prefixes}
				b.ReportAllocs()
				for b.Loop() {
					id, _ := c.Choose(q)
					c.Done(id, OK)
				}
			})
		}
	}
}
