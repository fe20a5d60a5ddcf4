package residency

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// cellResult is the result of one cell.
type cellResult struct {
	// h1Violations and h2Violations count the events after which H1 or H2 was violated.
	h1Violations, h2Violations int
	// atEnd reports that a violation still existed when the run ended.
	atEnd  bool
	served int
	passed map[Step]bool
}

func (res cellResult) violated() bool { return res.h1Violations+res.h2Violations > 0 }

// checkHistories checks the histories that the engines recorded: how many replicas
// of a checkpoint use memory at the same time (H1), and how much memory is in use
// at each engine (H2).
func checkHistories(engines map[string]*standin.FaultyEngine) cellResult {
	var events []standin.EngineEvent
	for _, e := range engines {
		events = append(events, e.History()...)
	}
	slices.SortStableFunc(events, func(x, y standin.EngineEvent) int { return x.At.Compare(y.At) })
	held := make(map[string]map[string]int64)
	res := cellResult{}
	for _, e := range events {
		if held[e.Engine] == nil || e.Kind == standin.EngineBooted {
			held[e.Engine] = make(map[string]int64)
		}
		switch e.Kind {
		case standin.EngineLoading:
			held[e.Engine][e.Checkpoint] = e.MemoryMiB
		case standin.EngineDropped:
			delete(held[e.Engine], e.Checkpoint)
		}
		replicas, memory := countViolations(held)
		res.h1Violations += replicas
		res.h2Violations += memory
		res.atEnd = replicas+memory > 0
	}
	return res
}

func countViolations(held map[string]map[string]int64) (replicas, memory int) {
	count := make(map[string]int)
	for _, at := range held {
		total := int64(0)
		for cp, mib := range at {
			count[cp]++
			total += mib
		}
		if total > engineMiB {
			memory++
		}
	}
	for cp, n := range count {
		if n > max(1, clusterModels[cp].MaxReplicas) {
			replicas++
		}
	}
	return replicas, memory
}

func runCell(t *testing.T, c cell) cellResult {
	t.Helper()
	var res cellResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), runTime)
		defer cancel()
		cl := newCluster(t, ctx, c)
		for _, f := range []func(){cl.runPlanner, cl.moveHomes, func() { cl.runRequests("a", 1) }, func() { cl.runRequests("a", 2) }, func() { cl.runRequests("b", 3) }} {
			cl.spawn(f)
		}
		<-ctx.Done()
		cl.tasks.Wait()
		time.Sleep(time.Minute)
		res = checkHistories(cl.engines)
		res.served, res.passed = cl.served, cl.passedSteps
	})
	return res
}

// singleFaultCells combines every step with every fault and both kinds of engine.
func singleFaultCells(seeds int) []cell {
	var out []cell
	for seed := range uint64(seeds) {
		for _, checksFencing := range []bool{true, false} {
			for s := range stepCount {
				for _, f := range allFaults {
					out = append(out, cell{checksFencing: checksFencing, seed: seed, faults: []injection{{f, s, 1 + int(seed)}}})
				}
			}
		}
	}
	return out
}

// faultPairCells combines every fault with every fault, itself included, at varied steps.
func faultPairCells(seeds int) []cell {
	var out []cell
	for seed := range uint64(seeds) {
		for i, f := range allFaults {
			for j, g := range allFaults {
				s1, s2 := Step((i+j+int(seed))%int(stepCount)), Step((3*i+j)%int(stepCount))
				out = append(out, cell{checksFencing: (i+j)%2 == 0, seed: seed, faults: []injection{{f, s1, 1}, {g, s2, 2}}})
			}
		}
	}
	return out
}

// unfencedTakeover reports whether violations during the run are accepted: the
// engine ignores fencing tokens, and its agent is paused between the check and the
// sending of an order while a new incarnation takes over the same engine.
func (c cell) unfencedTakeover() bool {
	return !c.checksFencing && slices.ContainsFunc(c.faults, func(i injection) bool { return i.fault == f8Replaced })
}

// tally counts the cells that violated H1 or H2, those with an unfenced takeover
// separately, and the runs that ended with a violation.
type tally struct{ cells, violated, h1, h2, unfencedTakeover, unfencedViolated, atEnd, served int }

func (s *tally) add(c cell, res cellResult) {
	s.served += res.served
	s.atEnd += boolToInt(res.atEnd)
	if c.unfencedTakeover() {
		s.unfencedTakeover++
		s.unfencedViolated += boolToInt(res.violated())
		return
	}
	s.cells++
	s.violated += boolToInt(res.violated())
	s.h1 += boolToInt(res.h1Violations > 0)
	s.h2 += boolToInt(res.h2Violations > 0)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// runCells runs the cells, several of them in parallel.
func runCells(t *testing.T, all []cell, overrides ruleOverrides) tally {
	t.Helper()
	var mu sync.Mutex
	var sum tally
	passed := make(map[Step]bool)
	t.Run("cells", func(t *testing.T) {
		for i, c := range all {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				run := c
				run.overrides, run.faults = overrides, slices.Clone(c.faults)
				res := runCell(t, run)
				mu.Lock()
				defer mu.Unlock()
				maps.Copy(passed, res.passed)
				sum.add(c, res)
				if res.violated() && overrides == (ruleOverrides{}) {
					t.Logf("H1 %d, H2 %d events in %+v", res.h1Violations, res.h2Violations, c)
				}
			})
		}
	})
	if len(all) > int(stepCount)*len(allFaults) && len(passed) != int(stepCount) {
		t.Errorf("the cells reached only %d of %d steps", len(passed), stepCount)
	}
	return sum
}

// seedCount is 1 unless MATRIX_SEEDS asks for more.
func seedCount() int {
	n := 1
	_, _ = fmt.Sscan(os.Getenv("MATRIX_SEEDS"), &n)
	return n
}

// TestMatrix checks H1 and H2 at the agent: whatever fault occurs at whatever step,
// no more replicas are loaded than decided and no engine's memory is overcommitted.
// It guards against freeing memory or releasing homes too early.
func TestMatrix(t *testing.T) {
	is := is.New(t)
	sum := runCells(t, append(singleFaultCells(seedCount()), faultPairCells(seedCount())...), ruleOverrides{})
	t.Logf("%+v", sum)
	is.Equal(sum.violated, 0) // cells that violate H1 or H2
	is.Equal(sum.atEnd, 0)    // runs that end with a violation, unfenced takeovers included
	is.True(sum.served > sum.cells)
}

// anyStep selects every step and both kinds of engine.
const anyStep = stepCount

// TestMatrixRuleOff is the negative control: with each rule switched off, the
// checker finds violations under the faults that the rule guards against.
func TestMatrixRuleOff(t *testing.T) {
	for _, tc := range []struct {
		name      string
		overrides ruleOverrides
		faults    []fault
		seeds     int
		step      Step
	}{
		{"reserve", ruleOverrides{ignoreMemoryLimit: true}, []fault{f1Killed}, 1, anyStep},
		{"check", ruleOverrides{skipViewCheck: true}, []fault{f8ShortPause}, 1, anyStep},
		{"release", ruleOverrides{reportBeforeUnload: true}, []fault{f2StoreSlow, f6LogDownOneReader}, 1, anyStep},
		{"unknown", ruleOverrides{freeUnknown: true}, []fault{f18LateOrder}, 1, anyStep},
		{"fence", ruleOverrides{zeroFence: true}, []fault{f8Replaced}, 20, StepLoadSend},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var all []cell
			for _, c := range singleFaultCells(tc.seeds) {
				injected := c.faults[0]
				atStep := tc.step == anyStep || tc.step == injected.step && c.checksFencing
				if atStep && slices.Contains(tc.faults, injected.fault) {
					all = append(all, c)
				}
			}
			withRule, withoutRule := runCells(t, all, ruleOverrides{}), runCells(t, all, tc.overrides)
			t.Logf("%s with the rule: %+v", tc.name, withRule)
			t.Logf("%s without the rule: %+v", tc.name, withoutRule)
			is.Equal(withRule.violated, 0)    // violations with the rule
			is.True(withoutRule.violated > 0) // violations without it
		})
	}
}
