package tokenquota

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/admission"
)

// burstKind is a kind of request that a team sends perSecond times at its usual rate.
type burstKind struct {
	tokens, perSecond float64
	urgency           int
	// spread is the part by which sizes differ from tokens either way.
	spread float64
}

// The usual mix of a team, which uses its rate of 29,000 tokens a second.
var burstKinds = []burstKind{{200, 12, 1, 0}, {1126, 5, 0, 0.25}, {9245, 2.25, 1, 0.25}}

// servedShare is how many requests were served of those sent.
type servedShare struct{ served, sent int }

func (s servedShare) share() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// replayBurst sends eight times the usual for 5 s, after 9 s of the usual and before 6 s of it, over
// n instances. It returns by kind what was served of what was sent in the burst and after it.
func replayBurst(t *testing.T, n int, ignoreReserve bool) []servedShare {
	const rate, burst = 29000.0, 68873.0
	out := make([]servedShare, len(burstKinds))
	synctest.Test(t, func(t *testing.T) {
		g := newLimiterGroup(n, 0, testBounds, teamConfig(rate, burst))
		withStore(t, g.limiters...)
		for _, l := range g.limiters {
			l.ignoreReserve = ignoreReserve
		}
		rng := rand.New(rand.NewPCG(7, 7))
		const tick = 10 * time.Millisecond
		for now := time.Duration(0); now < 20*time.Second; now += tick {
			time.Sleep(tick)
			factor := 1.0
			if now >= 9*time.Second && now < 14*time.Second {
				factor = 8
			}
			for k, kind := range burstKinds {
				due := factor * kind.perSecond * tick.Seconds()
				for ; rng.Float64() < due; due-- {
					ask := admission.Ask{Tokens: kind.tokens * (1 + kind.spread*(2*rng.Float64()-1)), Urgency: kind.urgency}
					l := g.limiters[rng.IntN(n)]
					d := l.Admit(t.Context(), "t", NewRequest(ask))
					if !d.Allowed {
						_ = l.ReturnLoans(t.Context(), "t", d.Loans)
					}
					if now >= 9*time.Second {
						out[k].sent++
						if d.Allowed {
							out[k].served++
						}
					}
				}
			}
		}
	})
	return out
}

// TestReserveForSmallRequests guards against small requests that are refused in a burst of their
// team, because large ones have taken all of its tokens.
func TestReserveForSmallRequests(t *testing.T) {
	for _, n := range []int{1, 4, 28} {
		check := is.New(t)
		got, without := replayBurst(t, n, false), replayBurst(t, n, true)
		total := func(s []servedShare) (served int) {
			for _, k := range s {
				served += k.served
			}
			return served
		}
		for k := range got {
			t.Logf("%d instances, %.0f tokens: served %d of %d, without the reserve %d of %d", n, burstKinds[k].tokens, got[k].served, got[k].sent, without[k].served, without[k].sent)
		}
		check.True(got[0].share() > 0.99)
		check.True(without[0].share() < 0.95) // negative control
		check.True(total(got) > total(without))
		check.True(got[2].served > 0)
	}
}
