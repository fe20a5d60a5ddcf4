package promptcache

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// load makes the events of an engine with memory for 225,000 tokens, whose prompts have parts
// that recur and parts that do not.
type load struct {
	rng  *rand.Rand
	kept []fleet.CacheEvent
	used int
}

func (l *load) next(apply func(fleet.CacheEvent)) {
	e := fleet.CacheEvent{ID: fmt.Sprint(l.rng.IntN(40)), Name: "m", Tokens: 3000}
	if l.rng.IntN(2) == 0 {
		e = fleet.CacheEvent{ID: fmt.Sprint("q", l.rng.Uint64()), Name: "m", Tokens: 40 + l.rng.IntN(1500)}
	}
	if slices.ContainsFunc(l.kept, func(k fleet.CacheEvent) bool { return k.ID == e.ID }) {
		return
	}
	l.kept, l.used = append(l.kept, e), l.used+e.Tokens
	apply(e)
	for ; l.used > 225_000; l.kept = l.kept[1:] {
		l.used -= l.kept[0].Tokens
		apply(fleet.CacheEvent{ID: l.kept[0].ID, Name: "m"})
	}
}

// TestReports guards against a caller whose list differs from that of the tracker, however
// far it is behind and whatever was evicted, reset or passed on by a relay in between, and
// against lists that claim to be complete for a time before they began.
func TestReports(t *testing.T) {
	check := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	l, tr, now, version := load{rng: rng}, NewTracker(), time.Unix(0, 0), uint64(1)
	type caller struct {
		after          uint64
		parts, relayed *Parts
	}
	callers := make([]caller, 6)
	var began time.Time
	for i := range 1500 {
		now = now.Add(time.Second)
		for range rng.IntN(12) {
			l.next(tr.Apply)
		}
		if i%700 == 699 {
			version++
			tr.Reset(version)
		}
		restarted := tr.restarted
		if tr.Publish(version+1, 4, now) {
			version++
			if restarted {
				began = now
			}
		}
		for j := range callers {
			c := &callers[j]
			if rng.IntN(1+100*j) > 0 { // some call seldom
				continue
			}
			old := c.parts
			var err error
			c.parts, err = c.parts.Apply(tr.Report(c.after), now)
			check.NoErr(err)
			c.relayed, err = c.relayed.Apply(c.parts.ReportSince(old), now)
			check.NoErr(err)
			c.after = version
			check.Equal(c.parts.Len(), tr.listed)
			check.Equal(c.relayed.Len(), tr.listed)
			check.True(!c.parts.Lists(60_000, began.Add(-time.Second)) && !c.relayed.Lists(60_000, began.Add(-time.Second)))
			for h, p := range tr.parts {
				got, _ := c.parts.Tokens(h, p.reported.tokens())
				relayed, _ := c.relayed.Tokens(h, p.reported.tokens())
				check.True(got == p.reported.tokens() && relayed == got)
			}
		}
	}
}

// TestReportSize guards against reports whose size exceeds what an instance may get: 2 KB/s
// from 43 engines, and from the 64 that a relay watches, a full list of 512 parts, and few
// parts of each of 5,600 engines.
func TestReportSize(t *testing.T) {
	for _, engines := range []int{43, 180, 5600} {
		check := is.New(t)
		l, tr, now, version := load{rng: rand.New(rand.NewPCG(3, 4))}, NewTracker(), time.Unix(0, 0), uint64(1)
		bytes, missing, tokens, seconds := 0, 0, 0, 600
		for range seconds {
			now = now.Add(time.Second)
			for range 10 {
				l.next(tr.Apply)
			}
			after := version
			if tr.Publish(version+1, engines, now) {
				version++
			}
			if report := tr.Report(after); report != "" {
				bytes += len(`,"prompt_parts":""`) + len(report)
			}
			for id := range 40 {
				if p, ok := tr.parts[Hash("m", fmt.Sprint(id))]; ok {
					tokens += p.now.tokens()
					missing += max(0, p.now.tokens()-p.reported.tokens())
				}
			}
		}
		rate := float64(bytes*min(engines, watchedEngines)) / float64(seconds)
		t.Logf("%d engines: %.0f bytes a second, %d parts, %.2f of the shared tokens not reported", engines, rate, tr.listed, float64(missing)/float64(tokens))
		check.True(rate < 2048)
		check.True(tr.listed <= max(1, maxPartsOfFleet/engines))
	}
	tr := NewTracker()
	for i := range 3 * maxKnown {
		tr.Apply(fleet.CacheEvent{ID: fmt.Sprint(i), Name: "m", Tokens: 500})
		if i%500 == 0 {
			tr.Publish(1, 1, time.Unix(int64(i), 0))
		}
	}
	tr.Publish(1, 1, time.Unix(3*maxKnown, 0))
	_, listed := tr.Len()
	is.New(t).True(len(tr.parts) <= maxKnown && listed == MaxParts)
	is.New(t).True(len(tr.Report(0)) <= MaxParts*entryText+reportText)
}

// TestLateAndLostEvents guards against a late event that brings back an evicted part, and
// against a list that is full of parts whose eviction was never told.
func TestLateAndLostEvents(t *testing.T) {
	check, tr, now := is.New(t), NewTracker(), time.Unix(0, 0)
	for i, e := range []fleet.CacheEvent{{Number: 2, Tokens: 800}, {Number: 5}, {Number: 3, Tokens: 800}, {Number: 4}} {
		e.ID, e.Name = "late", "m"
		tr.Apply(e)
		cached, _ := tr.Len()
		check.Equal(cached > 0, i == 0)
	}
	for i := range MaxParts {
		tr.Apply(fleet.CacheEvent{ID: fmt.Sprint(i), Name: "m", Tokens: 500})
	}
	listed := func(id string) bool {
		for range 100 {
			now = now.Add(time.Second)
			tr.Publish(1, 1, now)
		}
		return tr.parts[Hash("m", id)].reported != 0
	}
	check.True(listed("0"))
	tr.Apply(fleet.CacheEvent{ID: "new", Name: "m", Tokens: 900})
	check.True(!listed("new")) // waits for an eviction
	now = now.Add(unsureAge)
	check.True(listed("new"))
	check.Equal(tr.listed, MaxParts)
}

// FuzzApply guards against a wrong report that ends the process or grows the list beyond its
// bound.
func FuzzApply(f *testing.F) {
	f.Add("*", "AA")
	f.Add(encodeReport(true, 3, []entry{{1, 2}, {1, 4}}), encodeReport(false, 0, []entry{{1, 0}, {0, 1}}))
	f.Fuzz(func(t *testing.T, a, b string) {
		p, _ := (*Parts)(nil).Apply(a, time.Now())
		p, err := p.Apply(b, time.Now())
		if err != nil && p != nil || p.Len() > MaxParts || p != nil && !slices.IsSorted(p.hashes) {
			t.Fatalf("%d parts, error %v", p.Len(), err)
		}
	})
}

// BenchmarkTracker measures what the agent does for one event, with a report a second for
// each ten of them.
func BenchmarkTracker(b *testing.B) {
	l, tr, now := load{rng: rand.New(rand.NewPCG(3, 4))}, NewTracker(), time.Unix(0, 0)
	var events []fleet.CacheEvent
	for range 50_000 {
		l.next(func(e fleet.CacheEvent) { events = append(events, e) })
	}
	for i := 0; b.Loop(); i++ {
		tr.Apply(events[i%len(events)])
		if i%10 == 9 {
			now = now.Add(time.Second)
			tr.Publish(uint64(i), 43, now)
			tr.Report(uint64(i - 10))
		}
	}
}
