package tokenquota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// limiterGroup is a set of limiters that lend to each other directly. Every
// dropEvery-th answer is lost.
type limiterGroup struct {
	limiters  []*Limiter
	instances []string
	dropEvery int
	answers   atomic.Int64
	// down are instances that do not answer.
	down map[string]bool
}

type groupClient struct {
	*limiterGroup
	self int
}

func (c groupClient) Borrow(_ context.Context, team string, r Request, holders HolderList) BorrowResult {
	var got BorrowResult
	// Instances ask the homes first, and then the other holders in random order.
	order := slices.Clone(holders.First)
	for _, i := range rand.New(rand.NewPCG(1, uint64(c.answers.Load()))).Perm(len(holders.All)) {
		if name := holders.All[i]; !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	for _, name := range order {
		if name == c.instances[c.self] || c.down[name] {
			continue
		}
		result := c.limiterOf(name).LendTo(context.Background(), team, r)
		if n := c.answers.Add(1); c.dropEvery > 0 && n%int64(c.dropEvery) == 0 {
			result = LendResult{Holder: result.Holder}
		}
		if !got.Add(name, &r, result) {
			break
		}
	}
	return got
}

func (c groupClient) Book(_ context.Context, team string, r BookRequest, holder string) (BookResult, error) {
	if c.down[holder] {
		return BookResult{}, errors.New("no answer")
	}
	result := c.limiterOf(holder).Book(team, r)
	if c.dropEvery == 1 {
		return BookResult{}, errors.New("the answer is lost")
	}
	return result, nil
}

func (unreachableHolders) Book(context.Context, string, BookRequest, string) (BookResult, error) {
	return BookResult{}, errors.New("no answer")
}

func (unreachableHolders) Borrow(context.Context, string, Request, HolderList) BorrowResult {
	return BorrowResult{}
}

func (unreachableHolders) Return(context.Context, string, []Loan) error { return nil }

func (c groupClient) Return(_ context.Context, team string, loans []Loan) error {
	for _, loan := range loans {
		c.limiterOf(loan.From).Return(team, loan.Tokens)
	}
	return nil
}

func (g *limiterGroup) limiterOf(name string) *Limiter {
	return g.limiters[slices.Index(g.instances, name)]
}

func (g *limiterGroup) newLimiter(i int, bounds Bounds) *Limiter {
	return NewLimiter(g.instances[i], bounds, groupClient{g, i})
}

// withStore runs a store that takes the checkpoints of limiters, until the test ends.
func withStore(t *testing.T, limiters ...*Limiter) {
	for _, l := range limiters {
		go func() {
			for {
				select {
				case <-t.Context().Done():
					return
				case <-l.CheckpointDue():
					l.Confirm(l.Checkpoint())
				}
			}
		}()
	}
}

func entryNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("entry-%03d", i))
	}
	return names
}

func newLimiterGroup(n, dropEvery int, bounds Bounds, c *fleet.Config) *limiterGroup {
	g := &limiterGroup{dropEvery: dropEvery, instances: entryNames(n)}
	for i := range n {
		g.limiters = append(g.limiters, g.newLimiter(i, bounds))
	}
	for _, l := range g.limiters {
		l.Configure(c, g.instances)
	}
	return g
}

// take is takeFor for a request of which only the tokens are known.
func (l *Limiter) take(team string, tokens float64) Decision {
	r := NewRequest(admission.Ask{Tokens: tokens})
	return l.takeFor(team, &r)
}

// take spends tokens, and returns the loans if it is refused.
func take(l *Limiter, tokens float64) Decision {
	d := l.Take(context.Background(), "t", tokens)
	if !d.Allowed {
		_ = l.ReturnLoans(context.Background(), "t", d.Loans)
	}
	return d
}

func teamConfig(rate, burst float64) *fleet.Config {
	return &fleet.Config{Version: 1, Teams: []fleet.Team{{Name: "t", Rate: rate, Burst: burst}}}
}

// TestQuota guards against a team that gets more than its rate and burst plus
// the tolerance from all instances together in any window, however its requests
// are spread over the instances and whichever answers of lenders are lost (H7).
func TestQuota(t *testing.T) {
	const window = 8 * time.Second
	bounds := Bounds{Window: window, Over: 0.1, Slack: 110000}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			n := rapid.IntRange(1, 40).Draw(rt, "instances")
			rate := rapid.Float64Range(5000, 60000).Draw(rt, "rate")
			g := newLimiterGroup(n, rapid.IntRange(0, 4).Draw(rt, "drop every"), bounds, teamConfig(rate, 68873))
			withStore(t, g.limiters...)
			sizes := rapid.SliceOfN(rapid.Float64Range(100, 46000), 20, 60).Draw(rt, "sizes")
			type spent struct {
				at     time.Time
				tokens float64
			}
			var history []spent
			for _, size := range sizes {
				time.Sleep(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond)
				if take(g.limiters[rapid.IntRange(0, n-1).Draw(rt, "at")], size).Allowed {
					history = append(history, spent{time.Now(), size})
				}
			}
			for i, first := range history {
				sum := 0.0
				for _, s := range history[i:] {
					if s.at.Sub(first.at) <= window {
						sum += s.tokens
					}
				}
				if limit := (rate*window.Seconds()+68873)*(1+bounds.Over) + bounds.Slack; sum > limit {
					rt.Fatalf("%.0f tokens in a window, at most %.0f allowed", sum, limit)
				}
			}
		})
	})
}

// TestUnevenCallers guards against refusals within a team's rate when all its
// requests reach one instance of four.
func TestUnevenCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := newLimiterGroup(4, 0, testBounds, teamConfig(40000, 68873))
		withStore(t, g.limiters...)
		for range 200 {
			time.Sleep(250 * time.Millisecond)
			check.True(g.limiters[0].Take(context.Background(), "t", 9300).Allowed) // 37,200 per second
		}
	})
}

// TestRestarts guards against an allowance that is spent twice when instances
// are killed and restarted at any time, several times and together, while one
// team asks for far more than its rate (H7). A checkpoint that is due may be
// written or lost with the instance.
func TestRestarts(t *testing.T) {
	const window = 8 * time.Second
	const rate, burst = 29000.0, 68873.0
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			n := rapid.IntRange(1, 12).Draw(rt, "instances")
			g := newLimiterGroup(n, 0, testBounds, teamConfig(rate, burst))
			written := make([]Checkpoint, n)
			type spent struct {
				at     time.Time
				tokens float64
			}
			var history []spent
			for range 400 {
				time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "pause")) * time.Millisecond)
				i := rapid.IntRange(0, n-1).Draw(rt, "instance")
				if rapid.IntRange(0, 60).Draw(rt, "kill") == 0 {
					all := rapid.Bool().Draw(rt, "all")
					for k := range n {
						if k != i && !all {
							continue
						}
						g.limiters[k] = g.newLimiter(k, testBounds)
						g.limiters[k].Resume(Restart, written[k])
						g.limiters[k].Configure(teamConfig(rate, burst), g.instances)
					}
				}
				size := rapid.Float64Range(200, 12000).Draw(rt, "size")
				if take(g.limiters[i], size).Allowed {
					history = append(history, spent{time.Now(), size})
				}
				for k, l := range g.limiters {
					select {
					case <-l.CheckpointDue():
						written[k] = l.Checkpoint()
						l.Confirm(written[k])
					default:
					}
				}
			}
			for i, first := range history {
				sum := 0.0
				for _, s := range history[i:] {
					if s.at.Sub(first.at) <= window {
						sum += s.tokens
					}
				}
				if limit := (rate*window.Seconds()+burst)*(1+testBounds.Over) + testBounds.Slack; sum > limit {
					rt.Fatalf("%.0f tokens in a window, at most %.0f allowed", sum, limit)
				}
			}
		})
	})
}

// TestRestartWithoutCheckpoint guards against refusing a team of low usage
// after a restart, and against assuming the spending of all instances for this
// one when the others become known later.
func TestRestartWithoutCheckpoint(t *testing.T) {
	check := is.New(t)
	l := NewLimiter("entry-000", testBounds, nil)
	l.Resume(Restart, Checkpoint{})
	l.Configure(teamConfig(29000, 68873), entryNames(1))
	l.Configure(teamConfig(29000, 68873), entryNames(4))
	withStore(t, l)
	check.True(l.Take(context.Background(), "t", 20000).Allowed)
}

// TestJoin guards against a new instance that spends a share which the others
// had already spent, as they did not know of the instance.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		l := NewLimiter("entry-000", testBounds, nil)
		l.Resume(Joined, Checkpoint{})
		l.Configure(teamConfig(29000, 68873), entryNames(4))
		check.True(!l.Take(context.Background(), "t", 1).Allowed)
		time.Sleep(testBounds.Window + windowMargin + time.Millisecond)
		check.True(l.Take(context.Background(), "t", 20000).Allowed)
	})
}

// TestLoweredRate guards against an old allowance that stays in use after the
// quota is lowered.
func TestLoweredRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		l := NewLimiter("entry-000", Bounds{Window: 8 * time.Second}, nil)
		l.Configure(teamConfig(1000, 50000), entryNames(1))
		withStore(t, l)
		c := teamConfig(10, 100)
		c.Version = 2
		l.Configure(c, entryNames(1))
		check.True(!l.Take(context.Background(), "t", 181).Allowed)
		check.True(l.Take(context.Background(), "t", 180).Allowed)
	})
}

// TestWait guards against a wait that is too short for the tokens to be free.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		l := NewLimiter("entry-000", Bounds{Window: 8 * time.Second}, nil)
		l.Configure(teamConfig(100, 200), entryNames(1))
		withStore(t, l)
		for range 10 {
			check.True(l.Take(context.Background(), "t", 100).Allowed)
			time.Sleep(100 * time.Millisecond)
		}
		d := l.Take(context.Background(), "t", 250)
		check.True(!d.Allowed)
		time.Sleep(d.Wait + time.Millisecond)
		check.True(l.Take(context.Background(), "t", 250).Allowed)
	})
}

// TestWaitWithLoan guards against a refusal without a wait. It happened when a
// loan, which is recorded at its expiry, was made before the last spending.
func TestWaitWithLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		l := NewLimiter("entry-000", Bounds{Window: 8 * time.Second}, nil)
		l.Configure(teamConfig(100, 200), entryNames(1))
		withStore(t, l)
		lent, _, _ := l.Lend(t.Context(), "t", 500)
		check.Equal(lent, 500.0)
		time.Sleep(loanTTL / 2)
		check.True(l.Take(context.Background(), "t", 500).Allowed)
		time.Sleep(l.window() + loanTTL/4) // the spending has left the window, the loan has not
		for range 8 {
			d := l.Take(context.Background(), "t", 900)
			check.True(!d.Allowed)
			check.True(d.Wait > 0)
			time.Sleep(loanTTL / 40)
		}
	})
}

// TestLoanExpires guards against spending borrowed tokens after the time from
// which the lender may spend them again.
func TestLoanExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		l := NewLimiter("entry-000", Bounds{Window: 8 * time.Second}, nil)
		l.Configure(teamConfig(100, 200), entryNames(1))
		withStore(t, l)
		check.True(l.Take(context.Background(), "t", 1000).Allowed)
		l.addLoan("t", 500, time.Now().Add(loanTTL))
		time.Sleep(loanTTL / 2)
		check.True(l.Take(context.Background(), "t", 200).Allowed)
		time.Sleep(loanTTL)
		check.True(!l.Take(context.Background(), "t", 200).Allowed)
	})
}

// TestRefund guards against losing the tokens of a request that has not run.
func TestRefund(t *testing.T) {
	check := is.New(t)
	l := NewLimiter("entry-000", Bounds{Window: 8 * time.Second}, nil)
	l.Configure(teamConfig(100, 200), entryNames(1))
	withStore(t, l)
	check.True(l.Take(context.Background(), "t", 1000).Allowed)
	check.Equal(len(l.Refund("t", 1000, nil)), 0)
	check.True(l.Take(context.Background(), "t", 1000).Allowed)
}

var testBounds = Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 110000}
