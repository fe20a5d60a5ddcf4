package engineagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestUnloadOfBusyModel guards against entry instances that send requests for a
// model that the engine is unloading. The engine lists the model until its
// running requests have ended, but refuses new ones.
func TestUnloadOfBusyModel(t *testing.T) {
	for _, tc := range []struct {
		name          string
		dropResponses bool
		execDelay     time.Duration
	}{
		{"response received", false, 0},
		{"response lost", true, 0},
		{"carried out late", false, 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newFakeEngine("a", "b", "c")
			e.unloadDelay, e.dropResponses, e.execDelay = 3*time.Second, tc.dropResponses, tc.execDelay
			runAgent(t, e, 1, func(check *is.I, a *Agent) {
				go ensure(a, "d", "", time.Second) // needs one of the loaded models to be unloaded
				time.Sleep(1500 * time.Millisecond)
				e.mu.Lock()
				check.True(e.report.Busy)
				check.Equal(len(e.report.Holdings.Adapters), 3)
				e.mu.Unlock()
				check.Equal(len(a.State().Holdings.Adapters), 2)
			})
		})
	}
}

// TestStaleReport guards against decisions based on a report from before the
// last order. The engine would refuse the resulting orders, and an unloaded
// model would seem to be loaded again.
func TestStaleReport(t *testing.T) {
	e := newFakeEngine("a", "b", "c")
	e.reportDelay = 150 * time.Millisecond
	runAgent(t, e, 1, func(check *is.I, a *Agent) {
		time.Sleep(time.Second)
		check.True(ensure(a, "d", "", 4*time.Second).Loaded)
		for _, adapter := range []string{"x1", "x2", "x3", "x4"} {
			check.True(ensure(a, "d", adapter, time.Second).Loaded)
		}
		check.Equal(e.conflicts, 0)
	})
}

// TestPendingUnloadAfterRestart guards against hiding a model after the engine
// restarted. The restarted engine counts orders from zero.
func TestPendingUnloadAfterRestart(t *testing.T) {
	check := is.New(t)
	a := newAgent(newFakeEngine(), 1, true)
	report := func(born, sequence int64, busy bool) {
		a.applyReport(fleet.EngineReport{StartedAtMS: born, Sequence: sequence, Busy: busy, Holdings: fleet.Holdings{Adapters: map[string][]string{"a": nil}}})
	}
	report(1, 4, false)
	a.recordUnanswered(fleet.Order{Kind: fleet.OrderUnload, Model: "a", ExpectedSequence: 4})
	report(1, 4, false)
	check.True(a.isLoaded("a", ""))
	report(1, 5, true)
	check.True(!a.isLoaded("a", ""))
	report(2, 5, true)
	check.True(a.isLoaded("a", ""))
}
