package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/member"
)

// TestDataCentreOutAndIn guards H9, H3, H10 and H14 of a data centre that
// leaves and returns (F13): its streams finish, its entry instance and its
// agents take nothing new after the bound, the other data centre serves every
// model, no request is lost, and the returned one can carry the fleet alone.
func TestDataCentreOutAndIn(t *testing.T) {
	f := start(t, func(o *fleet.Options) { o.Engines = 4 }) // engines 0 and 2 are in dc-a
	models := []string{"story", "verse", "saga"}
	for _, m := range models {
		f.serves(f.Entries[1], m)
	}
	w := f.traffic(f.Entries[1], models...)
	before := f.requests(0) + f.requests(1) + f.requests(2) + f.requests(3)
	open := make(chan answer, 2*len(models))
	for _, p := range f.Entries {
		for _, m := range models {
			go func() { open <- f.post(p, "/v1/completions", completion(m, 400, true), nil) }()
		}
	}
	f.eventually(startTime, "the streams run", func() bool {
		return f.requests(0)+f.requests(1)+f.requests(2)+f.requests(3) >= before+int64(cap(open))
	})

	out := f.setDataCentre("dc-a", config.DataCentreOut)
	f.eventually(force-time.Since(out), "entry-0 refuses new requests", func() bool { return f.outOfService(f.Entries[0]) })
	f.eventually(force, "the bound has passed", func() bool { return time.Since(out) >= force })
	left := f.requests(0) + f.requests(2)

	for range cap(open) {
		f.True((<-open).whole()) // a running stream finishes
	}
	streams := time.Now()
	for _, m := range models {
		f.eventually(startTime, m+" is served by the other data centre", func() bool {
			return slices.ContainsFunc(w.since(streams, m), func(s sent) bool { return s.answer.whole() })
		})
	}
	f.eventually(startTime, "homes have left dc-a", func() bool { return !f.anyHome("engine-0", "engine-2") })
	f.Equal(f.requests(0)+f.requests(2), left) // agents of dc-a run nothing new
	f.True(f.outOfService(f.Entries[0]))

	in := f.setDataCentre("dc-a", config.DataCentreIn)
	f.eventually(force-time.Since(in), "entry-0 serves again", func() bool {
		return f.post(f.Entries[0], "/v1/completions", completion("saga", 1, false), nil).status == http.StatusOK
	})
	f.eventually(startTime, "dc-a has a home again", func() bool { return f.anyHome("engine-0", "engine-2") })
	all := w.end()
	f.noneLost(t, all)

	// The returned data centre serves every model while the other one is out.
	out = f.setDataCentre("dc-b", config.DataCentreOut)
	f.eventually(force-time.Since(out), "entry-1 refuses new requests", func() bool { return f.outOfService(f.Entries[1]) })
	for _, m := range models {
		f.serves(f.Entries[0], m)
	}
	f.True(f.requests(0)+f.requests(2) > left)
}

// TestAgentRestarted guards H1 and H2 when an agent is killed during a load
// and restarted under its instance id (F1, F3): the homes pass to the new
// incarnation, every model is served again, and no load is ordered on top of
// what the engine still holds.
func TestAgentRestarted(t *testing.T) {
	const memory = 2048 // room for two of the three models
	f := start(t, func(o *fleet.Options) {
		o.Engines = 1
		o.Engine.MemoryMiB = memory
		o.Transfer = time.Second
	})
	f.serves(f.Entries[1], "verse")
	before := f.view()
	old, _ := before.Members.Get("engine-0")
	cut := make(chan answer, 1)
	go func() { cut <- f.post(f.Entries[1], "/v1/completions", completion("saga", 1, false), nil) }()
	held, err := engine.NewClient(f.Engines[0].Addr())
	f.NoErr(err)
	f.eventually(startTime, "saga loads", func() bool {
		h, err := held.Held(t.Context())
		return err == nil && slices.ContainsFunc(h.Checkpoints, func(c engine.HeldCheckpoint) bool {
			return c.Checkpoint == "saga" && c.Loading
		})
	})
	f.NoErr(f.Agents[0].Kill())
	f.NoErr(f.Agents[0].Restart())
	a := <-cut
	f.True(a.status == http.StatusOK || a.refusal.Kind != "")

	f.eventually(startTime, "the homes pass to the new incarnation", func() bool {
		v := f.view()
		now, ok := v.Members.Get("engine-0")
		if !ok || now.Incarnation == old.Incarnation {
			return false
		}
		for _, m := range []string{"story", "verse", "saga"} {
			if h, _ := v.Homes.Get(m); !h.HasActive(now.Ref()) {
				return false
			}
		}
		return true
	})
	for _, m := range []string{"story", "verse", "saga", "story"} {
		f.serves(f.Entries[0], m)
	}
	f.True(f.Engines[0].MaxOrdered() <= memory)
}

// TestInstanceReplaced guards H1 and the recovery after an instance is lost
// for good (F3): its models are given to others once it has been silent for
// 60 s and off the list, not before, and a replacement under another id joins
// and takes homes.
func TestInstanceReplaced(t *testing.T) {
	f := start(t, nil)
	lost := f.holder(t, "story")
	name := fmt.Sprintf("engine-%d", lost)
	f.NoErr(f.Agents[lost].Kill())
	killed := time.Now()
	f.RemoveFromList(name)
	f.NoErr(f.AddEngine(lost))
	f.eventually(startTime, "the replacement joins", func() bool {
		_, ok := f.view().Members.Get("engine-2")
		return ok
	})
	// The silence, the checks of the list and of the member, the planner's
	// rounds and the load follow each other.
	const bound = member.SilentListed + 25*time.Second
	var v *fold.View
	f.eventually(bound-time.Since(killed), "story has another home", func() bool {
		v = f.view()
		h, _ := v.Homes.Get("story")
		return len(h.Active) > 0 && h.Active[0].Instance != name
	})
	f.True(time.Since(killed) >= member.SilentListed-member.ProbeAfter) // the engine behind the dead agent may hold it
	h, _ := v.Homes.Get("story")
	f.Equal(len(h.Active)+len(h.Releasing), 1) // no more homes than decided
	f.eventually(bound-time.Since(killed), "story is served again", func() bool {
		return f.post(f.Entries[0], "/v1/completions", completion("story", 1, false), nil).status == http.StatusOK
	})
	f.eventually(startTime, "the replacement is a home", func() bool { return f.anyHome("engine-2") })
}

// serves polls until the instance has served the model.
func (f *testFleet) serves(p *fleet.Process, model string) {
	f.Helper()
	f.eventually(startTime, p.Name+" serves "+model, func() bool {
		return f.post(p, "/v1/completions", completion(model, 1, false), nil).status == http.StatusOK
	})
}

// outOfService reports whether the instance refuses a request because its data
// centre is out. The short deadline keeps a request that is accepted just
// before, and waits for a cold load, from outlasting the poll's bound.
func (f *testFleet) outOfService(p *fleet.Process) bool {
	a := f.post(p, "/v1/completions", completion("saga", 1, false), map[string]string{"X-Request-Deadline-Ms": "500"})
	return a.refusal.Kind == errkind.DataCentreOut && a.refusal.Ran == errkind.RanNo
}

func (f *testFleet) requests(engine int) int64 { return f.Engines[engine].Requests() }

// setDataCentre returns when the change was published.
func (f *testFleet) setDataCentre(id string, state config.DataCentreState) time.Time {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	_, err := f.op.SetDataCentre(ctx, id, state, "test", "test-operator")
	f.NoErr(err)
	return time.Now()
}

// view returns the decisions as the operator's client reads them now.
func (f *testFleet) view() *fold.View {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	f.NoErr(f.op.Stream.Refresh(ctx))
	return f.op.View()
}

// anyHome reports whether one of the instances is an active home.
func (f *testFleet) anyHome(instances ...string) bool {
	for _, h := range f.view().Homes.All() {
		for _, ref := range h.Active {
			if slices.Contains(instances, ref.Instance) {
				return true
			}
		}
	}
	return false
}

func (f *testFleet) noneLost(t *testing.T, all []sent) {
	t.Helper()
	served, refused, unknown := 0, 0, 0
	for _, s := range all {
		if s.lost() {
			t.Errorf("request for %s lost after %v: %+v", s.model, s.duration, s.answer)
		}
		switch {
		case s.answer.status == http.StatusOK:
			served++
		case s.answer.refusal.Ran == errkind.RanNo:
			refused++
		default:
			unknown++
		}
	}
	t.Logf("%d requests: %d served, %d refused not run, %d past their deadline", len(all), served, refused, unknown)
}
