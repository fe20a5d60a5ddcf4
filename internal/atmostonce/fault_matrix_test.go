package atmostonce_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// lostDispatches is, for each step, the number of dispatches that the network
// must lose so that a run without other faults reaches the step.
var lostDispatches = map[faultPoint]int{
	{step: int(atmostonce.StepBegin)}:               0,
	{step: int(atmostonce.StepIntentAnswered)}:      0,
	{step: int(atmostonce.StepBeforeDispatch)}:      0,
	{step: int(atmostonce.StepAfterDispatch)}:       0,
	{step: int(atmostonce.StepBeforeResult)}:        0,
	{step: int(atmostonce.StepAfterResult)}:         0,
	{step: int(atmostonce.StepBeforeSettle)}:        1,
	{step: int(atmostonce.StepAfterSettle)}:         1,
	{step: int(atmostonce.StepBeforeSupersede)}:     1,
	{step: int(atmostonce.StepBeforeRecordNotRun)}:  6,
	{step: int(atmostonce.StepWriterLoad)}:          0,
	{step: int(atmostonce.StepWriterBeforeAppend)}:  0,
	{step: int(atmostonce.StepWriterAfterAppend)}:   0,
	{step: int(atmostonce.StepWriterAfterReadBack)}: 0,
	{step: int(atmostonce.StepWriterBetweenChunks)}: 0,
	{agent: true, step: int(attempt.StepArrived)}:   0,
	{agent: true, step: int(attempt.StepStarted)}:   0,
	{agent: true, step: int(attempt.StepServed)}:    0,
	{agent: true, step: int(attempt.StepRecorded)}:  0,
}

func allPoints() []faultPoint {
	var out []faultPoint
	for s := range atmostonce.StepCount {
		out = append(out, faultPoint{step: s})
	}
	for _, s := range attempt.Steps() {
		out = append(out, faultPoint{agent: true, step: int(s)})
	}
	return out
}

// send sends one request, and sends it again through the next entry instances
// until an answer is final.
func (sim *simulation) send(call *int, first int, id atmostonce.CallID, body string) {
	for try := range 6 {
		sim.mu.Lock()
		*call++
		number := *call
		sim.mu.Unlock()
		n := sim.entries[(first+try)%len(sim.entries)]
		sim.add(event{kind: "call", call: number, callID: id.Team + "/" + id.Key, body: body})
		ctx, cancel := context.WithTimeout(sim.ctx, 11*time.Second)
		r, err := exchange(ctx, sim.caller, n, func(ctx context.Context) (atmostonce.Result, error) {
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			return n.client.Do(ctx, id, atmostonce.DigestOf("POST", "/svc/buy", []byte(body)), dispatcher{n, number, body})
		})
		cancel()
		if err == nil {
			sim.add(event{kind: "answer", call: number, status: r.Status, body: string(r.Body)})
			return
		}
		e := errkind.From(err)
		sim.add(event{kind: "answer", call: number, ran: string(e.Ran), body: string(e.Kind)})
		if e.Kind != errkind.Internal && !errkind.ResponseFor(e.Kind).Retryable {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// runScenario runs two calls, a concurrent and a late copy of the first, the key
// of the first with another body, an expired copy of the first, and a later call.
func runScenario(t *testing.T, seed uint64, disabled disabledRules, dropDispatches int, plan []*scheduledFault) *simulation {
	var sim *simulation
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		sim = newSimulation(ctx, seed, disabled, dropDispatches, plan)
		keys := sim.random(99)
		newKey := func() atmostonce.CallID {
			key, _ := atmostonce.NewID(time.Now(), keys)
			return atmostonce.CallID{Team: "t", Key: key}
		}
		a, b := newKey(), newKey()
		var call int
		var wg sync.WaitGroup
		for _, c := range []struct {
			after time.Duration
			entry int
			id    atmostonce.CallID
			body  string
		}{
			{0, 0, a, "x"},
			{3 * time.Millisecond, 1, a, "x"},
			{time.Millisecond, 2, b, "x"},
			{500 * time.Millisecond, 1, a, "y"},
			{15 * time.Second, 2, a, "x"},
			{68 * time.Second, 0, a, "x"},
		} {
			wg.Go(func() {
				time.Sleep(c.after)
				sim.send(&call, c.entry, c.id, c.body)
			})
		}
		wg.Go(func() {
			time.Sleep(45 * time.Second)
			sim.send(&call, 1, newKey(), "x")
		})
		wg.Wait()
		// Delayed messages and paused processes finish before the history is checked.
		time.Sleep(45 * time.Second)
		stop()
		synctest.Wait()
	})
	return sim
}

// matrixSummary adds up the results of the runs of a matrix.
type matrixSummary struct{ cells, triggered, violating, answered, calls int }

func (s *matrixSummary) add(t *testing.T, name string, sim *simulation, wantNoViolations bool) {
	s.cells++
	if !slices.ContainsFunc(sim.plan, func(a *scheduledFault) bool { return !a.triggered }) {
		s.triggered++
	}
	s.answered += sim.count("answer")
	s.calls += sim.count("call")
	v := sim.violations()
	if len(v) == 0 {
		return
	}
	s.violating++
	if wantNoViolations {
		t.Errorf("%s: %v", name, v)
	}
}

func (s matrixSummary) String() string {
	return fmt.Sprintf("violations in %d of %d cells (all faults triggered in %d); %d of %d calls answered with a result", s.violating, s.cells, s.triggered, s.answered, s.calls)
}

// TestEveryStepIsReached guards against a step that no run reaches, and against
// a simulation in which no call succeeds.
func TestEveryStepIsReached(t *testing.T) {
	is := is.New(t)
	for _, p := range allPoints() {
		dropDispatches, ok := lostDispatches[p]
		is.True(ok) // Each step needs an entry.
		sim := runScenario(t, 1, disabledRules{}, dropDispatches, nil)
		is.True(sim.reached[p] > 0) // The run must reach the step.
		is.Equal(sim.violations(), nil)
		if dropDispatches == 0 {
			is.Equal(sim.count("answer"), 5)  // All but the calls with the reused and the expired key.
			is.Equal(sim.count("execute"), 3) // One per key.
		}
	}
	is.Equal(len(lostDispatches), len(allPoints()))
}

// seeds sets how many seeds each cell runs with; recorded results name its value.
var seeds = flag.Int("seeds", 1, "seeds per cell of the fault matrix")

func matrix(t *testing.T, disabled disabledRules, seeds uint64, wantNoViolations bool) matrixSummary {
	var sum matrixSummary
	for _, p := range allPoints() {
		for _, f := range faults {
			for seed := range seeds {
				sim := runScenario(t, seed, disabled, lostDispatches[p], []*scheduledFault{{at: p, nth: 1, fault: f}})
				sum.add(t, fmt.Sprintf("step %v, %s, seed %d", p, f.name, seed), sim, wantNoViolations)
			}
			if !wantNoViolations {
				continue
			}
			sim := runScenario(t, 7, disabled, lostDispatches[p], []*scheduledFault{{at: p, nth: 1, fault: f}, {at: p, nth: 2, fault: f}})
			sum.add(t, fmt.Sprintf("step %v, %s twice", p, f.name), sim, wantNoViolations)
		}
	}
	return sum
}

// TestSingleFaults checks H10, H11 and H12 for every step combined with every
// fault, injected once and twice.
func TestSingleFaults(t *testing.T) {
	t.Log(matrix(t, disabledRules{}, uint64(*seeds), true))
}

// TestPairsOfFaults checks H10, H11 and H12 for every pair of faults, at steps
// chosen at random from a fixed seed.
func TestPairsOfFaults(t *testing.T) {
	var sum matrixSummary
	rng := rand.New(rand.NewPCG(11, 0))
	all := allPoints()
	for _, f := range faults {
		for _, g := range faults {
			for range 2 * *seeds {
				p, q := all[rng.IntN(len(all))], all[rng.IntN(len(all))]
				plan := []*scheduledFault{{at: p, nth: 1 + rng.IntN(2), fault: f}, {at: q, nth: 1 + rng.IntN(3), fault: g}}
				seed := rng.Uint64N(1 << 16)
				sim := runScenario(t, seed, disabledRules{}, max(lostDispatches[p], lostDispatches[q]), plan)
				sum.add(t, fmt.Sprintf("%v %s, %v %s, seed %d", p, f.name, q, g.name, seed), sim, true)
			}
		}
	}
	t.Log(sum)
}

// TestNegativeControls shows that each rule is needed: with the rule disabled,
// the same matrix has violations.
func TestNegativeControls(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"first intent wins":    {DisabledRules: atmostonce.DisabledRules{FirstIntent: true}},
		"digest check":         {DisabledRules: atmostonce.DisabledRules{Digest: true}},
		"expiry check":         {DisabledRules: atmostonce.DisabledRules{Expiry: true}},
		"fencing at the agent": {fencing: true},
	} {
		t.Run(name, func(t *testing.T) {
			sum := matrix(t, disabled, 1, false)
			t.Log("rule disabled:", sum)
			is.New(t).True(sum.violating > 0)
		})
	}
}
