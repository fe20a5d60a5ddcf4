package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func newUpstreams(n int) (*Group, []*Upstream) {
	g, us := NewGroup(), make([]*Upstream, n)
	for i := range us {
		us[i] = &Upstream{}
		g.Add(us[i], start)
	}
	return g, us
}

// observe lets u serve n prompts in factor times the start estimate, one a second.
func observe(u *Upstream, n int, factor float64, at time.Time) time.Time {
	for range n {
		at = at.Add(time.Second)
		e := u.FirstToken(Work{Tokens: 4000, Model: 1}, at)
		u.ObserveFirstToken(&e, "m", Milliseconds(factor*4000/PrefillTokensPerMS), at)
	}
	return at
}

// TestStartValues guards against another choice of upstream than before where nothing is
// known or all speeds are as usual.
func TestStartValues(t *testing.T) {
	check := is.New(t)
	_, us := newUpstreams(1)
	for _, w := range []Work{{Model: 1}, {Tokens: 9190, PendingTokens: 1000, Running: 7, Queued: 2, Model: 1}, {Tokens: 300, Running: 64, Model: 1}} {
		e := us[0].FirstToken(w, start)
		prompt := float64(w.Tokens) / 40
		want := prompt + float64(w.PendingTokens)/40 + float64(w.Queued)*120 + float64(w.Running)*(1.5+0.05*prompt)
		check.True(math.Abs(e.TotalMS()-want) < 1e-6)
		check.Equal(us[0].Rank(e.TotalMS()), e.TotalMS())
	}
	check.Equal(us[0].Plain(start), 1.0)
}

// TestWrongObservations guards against estimates that single wrong observations move: one in
// five prompts was kept or was not, against what was assumed.
func TestWrongObservations(t *testing.T) {
	check := is.New(t)
	_, us := newUpstreams(4)
	rng, at := rand.New(rand.NewPCG(1, 2)), start
	for range 400 {
		for i, u := range us {
			factor := []float64{0.55, 1.2, 1.2, 1.2}[i] * []float64{1, 1, 1, 1, 1, 1, 1, 1, 10, 0.1}[rng.IntN(10)]
			at = observe(u, 1, factor, at)
		}
	}
	for i, want := range []float64{0.55, 1.2, 1.2, 1.2} {
		e := us[i].FirstToken(Work{Tokens: 4000, Model: us[i].group.Model("m")}, at)
		ratio := e.TotalMS() / (want * 100)
		check.True(ratio > 0.8 && ratio < 1.25)
	}
	check.True(us[0].Rank(55) < us[1].Rank(120) && us[0].Rank(55) > 55)
}

// TestBounds guards against an upstream that states or shows times beyond reason and is
// preferred or avoided for good.
func TestBounds(t *testing.T) {
	check := is.New(t)
	g, us := newUpstreams(2)
	at := observe(us[0], 500, 1e6, start)
	check.True(us[0].engineRatio <= maxFactor && g.Model("m") <= maxFactor)
	check.True(us[0].engineRatio > 2 && us[1].engineRatio > 2) // the other one starts at the median
	us[0].Reset(at)
	check.Equal(us[0].Observations(at), 0.0)
	us[1].ObserveWorkTime(1e-9, at)
	check.True(us[1].transient.factor(at) > 1-transientWeight)
	check.Equal(us[1].transient.factor(at.Add(transientTTL)), 1.0)
	// Without responses, what was learned fades.
	check.True(us[0].engine.weightAt(at) < 1 && g.fixed.weightAt(at.Add(20*halfLife)) < 0.01)
}

// TestRetestDue guards against an upstream that was slow once and is never tried again.
func TestRetestDue(t *testing.T) {
	check := is.New(t)
	_, us := newUpstreams(4)
	at := start
	for i, u := range us {
		at = observe(u, 40, []float64{1, 1, 1, 3.5}[i], at)
	}
	later := at.Add(retestInterval)
	check.True(!us[3].RetestDue(at) && us[3].RetestDue(later) && !us[0].RetestDue(later))
}

// TestPauses guards against a pause that counts for good, or is forgotten at once.
func TestPauses(t *testing.T) {
	check := is.New(t)
	_, us := newUpstreams(1)
	us[0].ObservePause(time.Second, start)
	us[0].ObservePause(time.Millisecond, start.Add(pauseWindow))
	check.Equal(us[0].LongestPause(start.Add(2*pauseWindow-1)), time.Second)
	check.Equal(us[0].LongestPause(start.Add(2*pauseWindow)), time.Millisecond)
	check.Equal(us[0].LongestPause(start.Add(4*pauseWindow)), time.Duration(0))
}

// TestPlain guards against plain services that get the same load whatever their speed.
func TestPlain(t *testing.T) {
	check := is.New(t)
	_, us := newUpstreams(3)
	at := start
	for range 60 {
		for i, u := range us {
			at = at.Add(time.Second)
			u.ObservePlain(time.Duration([]int{20, 20, 50}[i])*time.Millisecond, at)
		}
	}
	check.True(us[2].Plain(at) > 1.8 && us[0].Plain(at) < 1.2)
	check.True(us[2].TypicalPlain() > 35*time.Millisecond && us[2].TypicalPlain() < 70*time.Millisecond)
}

// BenchmarkObserve measures one observation, with the share of the medians at 27 a second,
// in a group of 5,600 upstreams.
func BenchmarkObserve(b *testing.B) {
	_, us := newUpstreams(5600)
	at, i := start, 0
	for b.Loop() {
		at = at.Add(time.Second / 27)
		u := us[i*7919%len(us)]
		e := u.FirstToken(Work{Tokens: 4000, Running: 5, Model: 1}, at)
		u.ObserveFirstToken(&e, "m", Milliseconds(130), at)
		i++
	}
}
