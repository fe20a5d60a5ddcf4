package admit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	startLimit = 4
	maxLimit   = 32
)

type views struct {
	view  atomic.Pointer[controlstate.View]
	stale atomic.Bool
}

func (v *views) View() *controlstate.View { return v.view.Load() }
func (v *views) MayWork() bool            { return !v.stale.Load() }

func (v *views) change(edit func(*controlstate.View)) {
	next := *v.View()
	edit(&next)
	v.view.Store(&next)
}

func newLimiter() (*Limiter, *views) {
	self := record.MemberJoin{Instance: "a", Incarnation: "1", Pool: "gpu", DataCentre: "dc"}
	v := &views{}
	v.view.Store(controlstate.Empty())
	v.change(func(n *controlstate.View) {
		n.Members = n.Members.With("a", controlstate.Member{MemberJoin: self})
		n.Pools = n.Pools.With("gpu", config.Pool{StartInFlight: startLimit, MaxInFlight: maxLimit})
		n.DataCentres = n.DataCentres.With("dc", config.DataCentre{})
	})
	return New(self, v), v
}

// upstream can handle startLimit requests at once after a start and one more for
// each request that it has completed since, up to maxLimit.
type upstream struct {
	mu       sync.Mutex
	boot     int
	inFlight int
	done     int
	// over is the number of requests that it got beyond its capacity.
	over    int
	peak    int
	crashed chan struct{}
}

// run serves one request and reports whether the upstream survived it.
func (u *upstream) run(d time.Duration) bool {
	u.mu.Lock()
	boot, crashed := u.boot, u.crashed
	u.inFlight++
	u.peak = max(u.peak, u.inFlight)
	if u.inFlight > min(startLimit+u.done, maxLimit) {
		u.over++
	}
	u.mu.Unlock()
	select {
	case <-time.After(d):
	case <-crashed:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if boot != u.boot {
		return false
	}
	u.inFlight--
	u.done++
	return true
}

func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.boot++
	u.inFlight, u.done = 0, 0
	if u.crashed != nil {
		close(u.crashed)
	}
	u.crashed = make(chan struct{})
}

func (u *upstream) bootID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprint(u.boot)
}

// runWithCrashes sends requests from many callers to one upstream that crashes at
// random times, also while it is idle, and returns the upstream.
func runWithCrashes(t *testing.T, seed uint64, noSlowStart bool) *upstream {
	u := &upstream{}
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 4))
		l, _ := newLimiter()
		l.noSlowStart = noSlowStart
		u.crash()
		u.boot = 0
		end := time.Now().Add(30 * time.Second)
		var tasks sync.WaitGroup
		for i := range 60 {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			tasks.Go(func() {
				for time.Now().Before(end) {
					// All callers pause at the same time, so that the upstream becomes idle.
					if time.Until(end)%(10*time.Second) < 3*time.Second {
						time.Sleep(time.Second)
						continue
					}
					call(l, u, time.Duration(1+r.IntN(300))*time.Millisecond)
					time.Sleep(time.Duration(1+r.IntN(50)) * time.Millisecond)
				}
			})
		}
		tasks.Go(func() {
			for time.Now().Before(end) {
				epoch, bootID := l.Epoch(), u.bootID()
				// The answer arrives 200 ms after the upstream read its boot id.
				time.Sleep(200 * time.Millisecond)
				l.Observe(epoch, bootID)
				time.Sleep(800 * time.Millisecond)
			}
		})
		for range 6 {
			time.Sleep(time.Duration(rng.IntN(5_000)) * time.Millisecond)
			u.crash()
		}
		tasks.Wait()
	})
	return u
}

func call(l *Limiter, u *upstream, d time.Duration) {
	ticket, err := l.Admit()
	if err != nil {
		return
	}
	if u.run(d) {
		l.Done(ticket, Completed)
		return
	}
	l.Done(ticket, Broken)
}

// TestSlowStart checks H8 at the agent: an upstream that has just started, or
// has crashed while it was busy or idle, never gets more requests than it can
// handle.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	broken := map[bool]int{}
	const seeds = 20
	for seed := range uint64(seeds) {
		for _, noSlowStart := range []bool{false, true} {
			u := runWithCrashes(t, seed, noSlowStart)
			if u.over > 0 {
				broken[noSlowStart]++
			}
			if !noSlowStart {
				is.Equal(u.peak, maxLimit) // the limit grows to the maximum
			}
		}
	}
	t.Logf("runs that overloaded the upstream: %d of %d, without slow start %d of %d", broken[false], seeds, broken[true], seeds)
	is.Equal(broken[false], 0)
	is.Equal(broken[true], seeds) // negative control
}

// TestRefusals checks H9 and H13 at the agent: a decision in the agent's view or
// a drain applies from the next request on, even if the entry instance that
// sends the request does not know of it.
func TestRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		kind   errkind.Kind
		change func(*Limiter, *views)
	}{
		"draining":         {errkind.Draining, func(l *Limiter, _ *views) { l.Drain() }},
		"view too old":     {errkind.ViewStale, func(_ *Limiter, v *views) { v.stale.Store(true) }},
		"data centre out":  {errkind.DataCentreOut, func(_ *Limiter, v *views) { v.change(takeDCOut) }},
		"not a member":     {errkind.Draining, func(_ *Limiter, v *views) { v.change(removeMember) }},
		"at the limit":     {errkind.UpstreamBusy, func(l *Limiter, _ *views) { fillUp(l) }},
		"after a crash":    {errkind.UpstreamBusy, func(l *Limiter, _ *views) { fillUp(l); l.Reset() }},
		"replaced by join": {errkind.Draining, func(_ *Limiter, v *views) { v.change(replaceMember) }},
	} {
		t.Run(name, func(t *testing.T) {
			for _, skipViewChecks := range []bool{false, true} {
				is := is.New(t)
				l, v := newLimiter()
				ticket, err := l.Admit()
				is.NoErr(err)
				l.Done(ticket, Completed)
				tc.change(l, v)
				l.skipViewChecks = skipViewChecks
				_, err = l.Admit()
				if skipViewChecks && tc.kind != errkind.UpstreamBusy {
					is.NoErr(err) // negative control: admitted without the checks
					continue
				}
				is.True(errkind.Is(err, tc.kind))
				is.Equal(errkind.From(err).Ran, errkind.RanNo)
			}
		})
	}
}

func takeDCOut(v *controlstate.View) {
	v.DataCentres = v.DataCentres.With("dc", config.DataCentre{State: config.DataCentreOut})
}
func removeMember(v *controlstate.View) { v.Members = v.Members.Without("a") }
func replaceMember(v *controlstate.View) {
	v.Members = v.Members.With("a", controlstate.Member{MemberJoin: record.MemberJoin{Instance: "a", Incarnation: "2"}})
}

func fillUp(l *Limiter) {
	for {
		if _, err := l.Admit(); err != nil {
			return
		}
	}
}

// BenchmarkAdmit measures Admit and Done of one request, alone and in parallel.
func BenchmarkAdmit(b *testing.B) {
	for _, parallel := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("parallel=", parallel), func(b *testing.B) {
			l, v := newLimiter()
			v.change(func(n *controlstate.View) {
				n.Pools = n.Pools.With("gpu", config.Pool{StartInFlight: 1 << 10, MaxInFlight: 1 << 10})
			})
			b.ReportAllocs()
			b.SetParallelism(parallel)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if t, err := l.Admit(); err == nil {
						l.Done(t, Completed)
					}
				}
			})
		})
	}
}
