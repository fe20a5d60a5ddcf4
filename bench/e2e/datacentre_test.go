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
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/member"
)

// TestDataCentreOutAndIn checks H9, H3, H10 and H14 when the operator takes a
// data centre out of service and back in (F13). Its running streams finish. Once
// the change must be in force, its entry instance and its agents accept no new
// work. The other data centre serves every model, no request is lost, and after
// its return the data centre can serve all models alone.
func TestDataCentreOutAndIn(t *testing.T) {
	f := start(t, func(o *fleet.Options) { o.Engines = 4 }) // engines 0 and 2 are in dc-a
	models := []string{"story", "verse", "saga"}
	for _, m := range models {
		f.waitServes(f.Entries[1], m)
	}
	traffic := f.startTraffic(f.Entries[1], models...)
	before := f.requests(0) + f.requests(1) + f.requests(2) + f.requests(3)
	answers := make(chan answer, 2*len(models))
	for _, p := range f.Entries {
		for _, m := range models {
			go func() { answers <- f.post(p, "/v1/completions", completion(m, 400, true), nil) }()
		}
	}
	f.eventually(startTimeout, "the streams are running", func() bool {
		return f.requests(0)+f.requests(1)+f.requests(2)+f.requests(3) >= before+int64(cap(answers))
	})

	outSince := f.setDataCentre("dc-a", config.DataCentreOut)
	f.eventually(propagationBound-time.Since(outSince), "entry-0 refuses new requests", func() bool { return f.outOfService(f.Entries[0]) })
	f.eventually(propagationBound, "the propagation bound has passed", func() bool { return time.Since(outSince) >= propagationBound })
	requestsAfterOut := f.requests(0) + f.requests(2)

	for range cap(answers) {
		f.True((<-answers).complete()) // a running stream finishes
	}
	streamsEnded := time.Now()
	for _, m := range models {
		f.eventually(startTimeout, m+" is served by the other data centre", func() bool {
			return slices.ContainsFunc(traffic.since(streamsEnded, m), func(s trafficRequest) bool { return s.answer.complete() })
		})
	}
	f.eventually(startTimeout, "dc-a has no active home", func() bool { return !f.anyHome("engine-0", "engine-2") })
	f.Equal(f.requests(0)+f.requests(2), requestsAfterOut) // the agents of dc-a run nothing new
	f.True(f.outOfService(f.Entries[0]))

	inSince := f.setDataCentre("dc-a", config.DataCentreIn)
	f.eventually(propagationBound-time.Since(inSince), "entry-0 serves again", func() bool {
		return f.post(f.Entries[0], "/v1/completions", completion("saga", 1, false), nil).status == http.StatusOK
	})
	f.eventually(startTimeout, "dc-a has a home again", func() bool { return f.anyHome("engine-0", "engine-2") })
	requests := traffic.stopAndCollect()
	f.checkNoneLost(t, requests)

	// The returned data centre serves every model while the other one is out.
	outSince = f.setDataCentre("dc-b", config.DataCentreOut)
	f.eventually(propagationBound-time.Since(outSince), "entry-1 refuses new requests", func() bool { return f.outOfService(f.Entries[1]) })
	for _, m := range models {
		f.waitServes(f.Entries[0], m)
	}
	f.True(f.requests(0)+f.requests(2) > requestsAfterOut)
}

// TestAgentRestarted checks H1 and H2 when an agent is killed during a load and
// restarted under the same instance id (F1, F3). The homes move to the new
// incarnation, every model is served again, and no load is requested that would
// exceed the engine's memory together with what it still holds.
func TestAgentRestarted(t *testing.T) {
	const memory = 2048 // room for two of the three models
	f := start(t, func(o *fleet.Options) {
		o.Engines = 1
		o.Engine.MemoryMiB = memory
		o.FetchTime = time.Second
	})
	f.waitServes(f.Entries[1], "verse")
	before := f.view()
	old, _ := before.Members.Get("engine-0")
	interrupted := make(chan answer, 1)
	go func() { interrupted <- f.post(f.Entries[1], "/v1/completions", completion("saga", 1, false), nil) }()
	engineClient, err := engine.NewClient(f.Engines[0].Addr())
	f.NoErr(err)
	f.eventually(startTimeout, "saga is loading", func() bool {
		h, err := engineClient.MemoryState(t.Context())
		return err == nil && slices.ContainsFunc(h.Checkpoints, func(c engine.CheckpointState) bool {
			return c.Checkpoint == "saga" && c.Loading
		})
	})
	f.NoErr(f.Agents[0].Kill())
	f.NoErr(f.Agents[0].Restart())
	a := <-interrupted
	f.True(a.status == http.StatusOK || a.refusal.Kind != "")

	f.eventually(startTimeout, "the homes move to the new incarnation", func() bool {
		v := f.view()
		current, ok := v.Members.Get("engine-0")
		if !ok || current.Incarnation == old.Incarnation {
			return false
		}
		for _, m := range []string{"story", "verse", "saga"} {
			if h, _ := v.Homes.Get(m); !h.HasActive(current.Ref()) {
				return false
			}
		}
		return true
	})
	for _, m := range []string{"story", "verse", "saga", "story"} {
		f.waitServes(f.Entries[0], m)
	}
	f.True(f.Engines[0].MaxRequestedMiB() <= memory)
}

// TestInstanceReplaced checks H1 and the recovery after an instance is lost for
// good (F3). Its models move to other instances once it has sent nothing for
// 60 s and is off the platform's list, but not before. A replacement under
// another id joins and takes over homes.
func TestInstanceReplaced(t *testing.T) {
	f := start(t, nil)
	lost := f.servingEngine(t, "story")
	name := fmt.Sprintf("engine-%d", lost)
	f.NoErr(f.Agents[lost].Kill())
	killed := time.Now()
	f.RemoveFromList(name)
	f.NoErr(f.AddEngine(lost))
	f.eventually(startTimeout, "the replacement joins", func() bool {
		_, ok := f.view().Members.Get("engine-2")
		return ok
	})
	// These steps follow one another: the silence, the checks of the list and of
	// the member, the planner's rounds, and the load.
	const bound = member.ListedTimeout + 25*time.Second
	var v *controlstate.View
	f.eventually(bound-time.Since(killed), "story has another home", func() bool {
		v = f.view()
		h, _ := v.Homes.Get("story")
		return len(h.Active) > 0 && h.Active[0].Instance != name
	})
	f.True(time.Since(killed) >= member.ListedTimeout-member.ProbeAfter) // until then the engine of the killed agent may still hold the model
	h, _ := v.Homes.Get("story")
	f.Equal(len(h.Active)+len(h.Releasing), 1) // exactly one home, as decided
	f.eventually(bound-time.Since(killed), "story is served again", func() bool {
		return f.post(f.Entries[0], "/v1/completions", completion("story", 1, false), nil).status == http.StatusOK
	})
	f.eventually(startTimeout, "the replacement is a home", func() bool { return f.anyHome("engine-2") })
}

// waitServes polls until the entry instance has served the model.
func (f *testFleet) waitServes(p *fleet.Process, model string) {
	f.Helper()
	f.eventually(startTimeout, p.Name+" serves "+model, func() bool {
		return f.post(p, "/v1/completions", completion(model, 1, false), nil).status == http.StatusOK
	})
}

// outOfService reports whether the instance refuses a request because its data
// centre is out. The deadline is short because a request accepted just before the
// change may wait for a cold load, which would outlast the bound of the poll.
func (f *testFleet) outOfService(p *fleet.Process) bool {
	a := f.post(p, "/v1/completions", completion("saga", 1, false), map[string]string{"X-Request-Deadline-Ms": "500"})
	return a.refusal.Kind == errkind.DataCentreOut && a.refusal.Ran == errkind.RanNo
}

// requests returns how many requests the engine has received.
func (f *testFleet) requests(engine int) int64 { return f.Engines[engine].Requests() }

// setDataCentre publishes the state of a data centre and returns the time of
// publication.
func (f *testFleet) setDataCentre(id string, state config.DataCentreState) time.Time {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err := f.op.SetDataCentreState(ctx, id, state, "test", "test-operator")
	f.NoErr(err)
	return time.Now()
}

// view returns the newest view of the operator's client.
func (f *testFleet) view() *controlstate.View {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	f.NoErr(f.op.Stream.Refresh(ctx))
	return f.op.View()
}

// anyHome reports whether one of the instances is an active home of any model.
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

func (f *testFleet) checkNoneLost(t *testing.T, requests []trafficRequest) {
	t.Helper()
	served, refused, deadlinePassed := 0, 0, 0
	for _, s := range requests {
		if s.isLost() {
			t.Errorf("request for %s lost after %v: %+v", s.model, s.duration, s.answer)
		}
		switch {
		case s.answer.status == http.StatusOK:
			served++
		case s.answer.refusal.Ran == errkind.RanNo:
			refused++
		default:
			deadlinePassed++
		}
	}
	t.Logf("%d requests: %d served, %d refused before execution, %d past their deadline", len(requests), served, refused, deadlinePassed)
}
