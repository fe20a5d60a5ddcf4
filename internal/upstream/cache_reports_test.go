package upstream

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
)

// cachedReport returns the report of an engine that has the parts cached for model m.
func cachedReport(parts ...fleet.PromptPart) *promptcache.Parts {
	tr := promptcache.NewTracker()
	for _, p := range parts {
		tr.Apply(fleet.CacheEvent{ID: p.ID, Name: "m", Tokens: p.Tokens})
	}
	tr.Publish(1, 1, time.Now())
	out, err := (*promptcache.Parts)(nil).Apply(tr.Report(0), time.Now())
	if err != nil {
		panic(err.Error())
	}
	return out
}

// TestCacheReports guards against a prompt that is sent to an engine without the parts that
// another instance has had read, and against parts that count although one before them, or
// the whole report, is missing, or although they were evicted.
func TestCacheReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(4, 1)
		for _, u := range v.Upstreams {
			u.Holdings.Adapters["m"], u.DataCentre = nil, "z0"
		}
		p := newPool(v)
		a, b, small, c := fleet.PromptPart{ID: "a", Tokens: 2500}, fleet.PromptPart{ID: "b", Tokens: 3800}, fleet.PromptPart{ID: "s", Tokens: 20}, fleet.PromptPart{ID: "c", Tokens: 2700}
		q := engineQuery("m", "")
		q.TokensIn, q.Prompt = 9020, []fleet.PromptPart{a, b, small, c}
		uncached := func(report *promptcache.Parts) int {
			p.UpdateAgentState("i-2", &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: v.Upstreams["i-2"].Holdings, Cached: report}, time.Now())
			s := p.states["i-2"]
			return p.candidate(s, q, p.hashPrompt(q), 1, time.Now()).uncachedTokens
		}
		check.Equal(uncached(nil), 9020)
		check.Equal(uncached(cachedReport(b, c)), 9020)                              // without the first part
		check.Equal(uncached(cachedReport(a, fleet.PromptPart{ID: "b"})), 9020-2500) // no longer cached
		check.Equal(uncached(cachedReport(a, c)), 9020-2500)                         // a gap
		check.Equal(uncached(cachedReport(a, b, c)), 20)                             // too small to be reported
		choice, _ := p.Pick(q)
		check.Equal(choice.Upstream.ID, "i-2")

		report := cachedReport(a)
		time.Sleep(time.Millisecond)
		ticket, _ := p.Begin(choice, q)
		ticket.End(Served)
		check.Equal(uncached(report), 0) // sent a moment ago
		time.Sleep(p.reportLag + time.Millisecond)
		check.Equal(uncached(report), 9020-2500)  // evicted by now, or it would be listed
		check.Equal(uncached(cachedReport(a)), 0) // may have been read before this list began
	})
}

// TestRereadTokens guards against instances that send a shared part to many engines, since
// none of them knows which have it.
func TestRereadTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reread := func(reports bool) (n int) {
			w, once := newSpeedReplay(4), &sync.Map{}
			w.reports = reports
			for _, e := range w.engines {
				e.onceRead = once
			}
			w.play(40)
			for _, e := range w.engines {
				n += e.reread
			}
			return n
		}
		without, with := reread(false), reread(true)
		t.Logf("%d tokens read again without reports, %d with them", without, with)
		is.New(t).True(with < without)
	})
}
