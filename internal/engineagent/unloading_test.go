package engineagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestUnloadOfBusyModel guards against entry instances that send requests for a
// model to an engine which unloads it: the engine lists the model until its runs
// have ended, and refuses new requests for it.
func TestUnloadOfBusyModel(t *testing.T) {
	for _, row := range []struct {
		name string
		lose bool
		late time.Duration
	}{
		{"answered", false, 0},
		{"answer lost", true, 0},
		{"carried out late", false, 300 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := newFakeEngine("a", "b", "c")
			e.runsLast, e.lose, e.late = 3*time.Second, row.lose, row.late
			play(t, e, 1, func(check *is.I, a *Agent) {
				go ensure(a, "d", "", time.Second) // one of the models has to go
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

// TestOldReport guards against orders that are decided by a report from before
// the last order, which the engine refuses, and against a model that seems to be
// held again.
func TestOldReport(t *testing.T) {
	e := newFakeEngine("a", "b", "c")
	e.reportLag = 150 * time.Millisecond
	play(t, e, 1, func(check *is.I, a *Agent) {
		time.Sleep(time.Second)
		check.True(ensure(a, "d", "", 4*time.Second).Loaded)
		for _, adapter := range []string{"x1", "x2", "x3", "x4"} {
			check.True(ensure(a, "d", adapter, time.Second).Loaded)
		}
		check.Equal(e.refused, 0)
	})
}

// TestUnloadingOfRestart guards against a model that is hidden at a new start of
// the engine, whose count of orders begins anew.
func TestUnloadingOfRestart(t *testing.T) {
	check := is.New(t)
	a := newAgent(newFakeEngine(), 1, true)
	report := func(born, sequence int64, busy bool) {
		a.takeReport(fleet.EngineReport{StartedAtMS: born, Sequence: sequence, Busy: busy, Holdings: fleet.Holdings{Adapters: map[string][]string{"a": nil}}})
	}
	report(1, 4, false)
	a.unanswered(fleet.Order{Kind: fleet.OrderUnload, Model: "a", ExpectedSequence: 4})
	report(1, 4, false)
	check.True(a.holds("a", ""))
	report(1, 5, true)
	check.True(!a.holds("a", ""))
	report(2, 5, true)
	check.True(a.holds("a", ""))
}
