package engineagent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
)

// TestStoreLoadDeclined guards against a load from the weight store that an engine takes without being able to
// begin it: the load of a model in demand began 9 s late, at another engine.
func TestStoreLoadDeclined(t *testing.T) {
	storeLoad := func(a *Agent, model string) string {
		r, _ := a.ServeEnsure(context.Background(), agentapi.EnsureRequest{Model: model, Background: true, FromStore: true, ExpectedDemand: 9})
		return r.Reason
	}
	t.Run("turn", func(t *testing.T) {
		runAgent(t, newFakeEngine("a", "b"), 1, func(check *is.I, a *Agent) {
			a.mu.Lock()
			a.storeShare = storeShare{engines: 400, rank: 399}
			a.mu.Unlock()
			check.True(storeLoad(a, "e") != "")
			time.Sleep(5 * time.Second)
			check.True(!a.isLoaded("e", "")) // nothing is kept of the request
		})
	})
	t.Run("busy", func(t *testing.T) {
		runAgent(t, newFakeEngine("a", "b"), 1, func(check *is.I, a *Agent) {
			check.Equal(storeLoad(a, "e"), "")
			time.Sleep(time.Second)
			check.Equal(storeLoad(a, "e"), "") // under way
			check.True(storeLoad(a, "c") != "")
		})
	})
	t.Run("no place", func(t *testing.T) {
		runAgent(t, newFakeEngine("a", "b", "c"), 1, func(check *is.I, a *Agent) {
			a.mu.Lock()
			a.demand.update("entry-1", []agentapi.Demand{{Name: "a", InFlight: 1}, {Name: "b", InFlight: 1}, {Name: "c/x1", InFlight: 1}}, time.Now())
			a.mu.Unlock()
			check.Equal(storeLoad(a, "e"), "no loaded model may be unloaded")
		})
	})
}

// TestLoadedModelKept guards against a model that is unloaded right after it was loaded, since the entry
// instances report no demand for it yet: a load from the weight store of 25 s was lost in this way.
func TestLoadedModelKept(t *testing.T) {
	runAgent(t, newFakeEngine("b", "c"), 1, func(check *is.I, a *Agent) {
		_, _ = a.ServeEnsure(context.Background(), agentapi.EnsureRequest{Model: "a", Background: true, ExpectedDemand: 9})
		time.Sleep(time.Second)
		check.True(a.isLoaded("a", ""))
		check.True(ensure(a, "d", "", 3*time.Second).Loaded)
		check.True(a.isLoaded("a", "")) // of equal models, the first by name is unloaded
	})
}

// TestAdapterKeepsModel guards against a model that counts as idle while only its adapters have running
// requests: the engine then waits for their end, for seconds, and takes no other order.
func TestAdapterKeepsModel(t *testing.T) {
	check := is.New(t)
	d := newDemand()
	now := time.Now()
	d.update("entry-1", []agentapi.Demand{{Name: "m/a1", InFlight: 2, Sent: 1}, {Name: "m", Requested: 3}, {Name: "m2", InFlight: 1}}, now)
	u := d.usage("m", now)
	check.Equal(u.InFlight, 2)
	check.Equal(u.LastUsed, now)
	check.Equal(u.Demand, 3.0)
	check.Equal(d.usage("m2", now).InFlight, 1)
}
