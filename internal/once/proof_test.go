package once_test

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

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
)

// rows gives for each step the number of dispatches that the network loses, so
// that a run without faults reaches the step.
var rows = map[point]int{
	{step: int(once.StepBegin)}:                    0,
	{step: int(once.StepIntentAnswered)}:           0,
	{step: int(once.StepBeforeDispatch)}:           0,
	{step: int(once.StepAfterDispatch)}:            0,
	{step: int(once.StepBeforeResult)}:             0,
	{step: int(once.StepAfterResult)}:              0,
	{step: int(once.StepBeforeSettle)}:             1,
	{step: int(once.StepAfterSettle)}:              1,
	{step: int(once.StepBeforeSupersede)}:          1,
	{step: int(once.StepBeforeClose)}:              6,
	{step: int(once.StepWriterLoad)}:               0,
	{step: int(once.StepWriterBeforeAppend)}:       0,
	{step: int(once.StepWriterAfterAppend)}:        0,
	{step: int(once.StepWriterAfterReadBack)}:      0,
	{step: int(once.StepWriterBetweenChunks)}:      0,
	{agent: true, step: int(attempt.StepArrived)}:  0,
	{agent: true, step: int(attempt.StepStarted)}:  0,
	{agent: true, step: int(attempt.StepServed)}:   0,
	{agent: true, step: int(attempt.StepRecorded)}: 0,
}

func points() []point {
	var out []point
	for s := range once.StepCount {
		out = append(out, point{step: s})
	}
	for _, s := range attempt.Steps() {
		out = append(out, point{agent: true, step: int(s)})
	}
	return out
}

// caller sends one request and resends it through the next instances until an
// answer is final.
func (w *world) send(call *int, first int, identity once.Identity, body string) {
	for try := range 6 {
		w.mu.Lock()
		*call++
		number := *call
		w.mu.Unlock()
		n := w.entries[(first+try)%len(w.entries)]
		w.add(event{what: "call", call: number, identity: identity.Team + "/" + identity.Key, body: body})
		ctx, cancel := context.WithTimeout(w.ctx, 11*time.Second)
		r, err := exchange(ctx, w.caller, n, func(ctx context.Context) (once.Result, error) {
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			return n.client.Do(ctx, identity, once.DigestOf("POST", "/svc/buy", []byte(body)), dispatcher{n, number, body})
		})
		cancel()
		if err == nil {
			w.add(event{what: "answer", call: number, status: r.Status, body: string(r.Body)})
			return
		}
		e := errkind.From(err)
		w.add(event{what: "answer", call: number, ran: string(e.Ran), body: string(e.Kind)})
		if e.Kind != errkind.Internal && !errkind.ResponseFor(e.Kind).Retryable {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// run plays the scenario: two calls, a concurrent and a late copy of the first,
// the first key with another body, and a later call.
func run(t *testing.T, seed uint64, off rules, lose int, plan []*armed) *world {
	var w *world
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w = newWorld(ctx, seed, off, lose, plan)
		keys := w.random(99)
		newKey := func() once.Identity {
			key, _ := once.NewID(time.Now(), keys)
			return once.Identity{Team: "t", Key: key}
		}
		a, b := newKey(), newKey()
		var call int
		var wg sync.WaitGroup
		for _, c := range []struct {
			after time.Duration
			entry int
			id    once.Identity
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
				w.send(&call, c.entry, c.id, c.body)
			})
		}
		wg.Go(func() {
			time.Sleep(45 * time.Second)
			w.send(&call, 1, newKey(), "x")
		})
		wg.Wait()
		// Late messages and paused processes go on before the history is judged.
		time.Sleep(45 * time.Second)
		stop()
		synctest.Wait()
	})
	return w
}

// tally sums the judgement over the cells of a matrix.
type tally struct{ cells, struck, bad, served, calls int }

func (s *tally) add(t *testing.T, name string, w *world, expectClean bool) {
	s.cells++
	if !slices.ContainsFunc(w.plan, func(a *armed) bool { return !a.struck }) {
		s.struck++
	}
	s.served += w.count("answer")
	s.calls += w.count("call")
	v := w.violations()
	if len(v) == 0 {
		return
	}
	s.bad++
	if expectClean {
		t.Errorf("%s: %v", name, v)
	}
}

func (s tally) String() string {
	return fmt.Sprintf("violations in %d of %d cells (all faults struck in %d); %d of %d calls answered with a result", s.bad, s.cells, s.struck, s.served, s.calls)
}

// TestEveryStepHasARow guards the matrix against a step that no scenario
// reaches, and the proof against a world in which nothing is served.
func TestEveryStepHasARow(t *testing.T) {
	is := is.New(t)
	for _, p := range points() {
		lose, ok := rows[p]
		is.True(ok) // Each step needs a row.
		w := run(t, 1, rules{}, lose, nil)
		is.True(w.reached[p] > 0) // The row must reach its step.
		is.Equal(w.violations(), nil)
		if lose == 0 {
			is.Equal(w.count("answer"), 5)  // All but the reused and the expired key.
			is.Equal(w.count("execute"), 3) // One per key.
		}
	}
	is.Equal(len(rows), len(points()))
}

// seeds widens the matrices; the recorded figures name its value.
var seeds = flag.Int("seeds", 1, "seeds per cell of the fault matrix")

func matrix(t *testing.T, off rules, seeds uint64, clean bool) tally {
	var sum tally
	for _, p := range points() {
		for _, f := range faults {
			for seed := range seeds {
				w := run(t, seed, off, rows[p], []*armed{{at: p, nth: 1, fault: f}})
				sum.add(t, fmt.Sprintf("step %v, %s, seed %d", p, f.name, seed), w, clean)
			}
			if !clean {
				continue
			}
			w := run(t, 7, off, rows[p], []*armed{{at: p, nth: 1, fault: f}, {at: p, nth: 2, fault: f}})
			sum.add(t, fmt.Sprintf("step %v, %s twice", p, f.name), w, clean)
		}
	}
	return sum
}

// TestSingleFaults proves H10, H11 and H12 for every step crossed with every
// fault, once and twice.
func TestSingleFaults(t *testing.T) {
	t.Log(matrix(t, rules{}, uint64(*seeds), true))
}

// TestPairsOfFaults proves H10, H11 and H12 for every pair of faults, at steps
// drawn by the seed.
func TestPairsOfFaults(t *testing.T) {
	var sum tally
	rng := rand.New(rand.NewPCG(11, 0))
	all := points()
	for _, f := range faults {
		for _, g := range faults {
			for range 2 * *seeds {
				p, q := all[rng.IntN(len(all))], all[rng.IntN(len(all))]
				plan := []*armed{{at: p, nth: 1 + rng.IntN(2), fault: f}, {at: q, nth: 1 + rng.IntN(3), fault: g}}
				seed := rng.Uint64N(1 << 16)
				w := run(t, seed, rules{}, max(rows[p], rows[q]), plan)
				sum.add(t, fmt.Sprintf("%v %s, %v %s, seed %d", p, f.name, q, g.name, seed), w, true)
			}
		}
	}
	t.Log(sum)
}

// TestNegativeControls shows that each rule carries the proof: without it the
// same matrix has violations.
func TestNegativeControls(t *testing.T) {
	for name, off := range map[string]rules{
		"first intent wins":    {RulesOff: once.RulesOff{FirstIntent: true}},
		"digest check":         {RulesOff: once.RulesOff{Digest: true}},
		"expiry check":         {RulesOff: once.RulesOff{Expiry: true}},
		"fencing at the agent": {fencing: true},
	} {
		t.Run(name, func(t *testing.T) {
			sum := matrix(t, off, 1, false)
			t.Log("rule off:", sum)
			is.New(t).True(sum.bad > 0)
		})
	}
}
