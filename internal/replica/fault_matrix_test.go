package replica_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// seed selects the simulations. To set it:
//
//	go test ./internal/replica -args -seed 7
var seed = flag.Uint64("seed", 1, "seed of the cells with one fault; pairs of faults use the next seed")

// cell is one simulation of the fault matrix: faults that start at a step.
type cell struct {
	seed    uint64
	trigger step
	faults  []fault
}

func (c cell) String() string {
	name := fmt.Sprintf("seed %d/%s %d", c.seed, c.trigger.method, c.trigger.phase)
	for _, f := range c.faults {
		name += "/" + f.name
	}
	return name
}

// singleFaults returns a cell for every combination of a step and a fault.
func singleFaults(seed uint64) (cells []cell) {
	for _, s := range steps() {
		for _, f := range faults {
			cells = append(cells, cell{seed, s, []fault{f}})
		}
	}
	return cells
}

// faultPairs returns a cell for every ordered pair of faults, including pairs
// of the same fault. The cells take the steps in turn.
func faultPairs(seed uint64) (cells []cell) {
	allSteps := steps()
	for i, f := range faults {
		for j, g := range faults {
			s := allSteps[(i*len(faults)+j+int(seed))%len(allSteps)]
			cells = append(cells, cell{seed, s, []fault{f, g}})
		}
	}
	return cells
}

func atPhase(cells []cell, p phase) (kept []cell) {
	for _, c := range cells {
		if c.trigger.phase == p {
			kept = append(kept, c)
		}
	}
	return kept
}

func everyNth(cells []cell, n int) (kept []cell) {
	for i := 0; i < len(cells); i += n {
		kept = append(kept, cells[i])
	}
	return kept
}

// violationCounts counts the cells that violate each invariant.
type violationCounts struct {
	mu     sync.Mutex
	cells  int
	failed map[string]int
}

func (v *violationCounts) add(r cellResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cells++
	for id := range r.violations {
		v.failed[id]++
	}
}

// runCells runs the cells in parallel and returns the counts after all have
// ended. With the race detector it runs only every 97th cell.
func runCells(t *testing.T, disabled disabledRules, cells []cell, check func(*testing.T, cellResult)) *violationCounts {
	if raceDetector {
		cells = everyNth(cells, 97) // a cell takes about 2 s of one core
	}
	counts := &violationCounts{failed: map[string]int{}}
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				r := runCell(t, c.seed, c.trigger, disabled, c.faults...)
				counts.add(r)
				check(t, r)
			})
		}
	})
	t.Logf("violating cells of %d: %v", counts.cells, counts.failed)
	return counts
}

func requireNoViolations(t *testing.T, r cellResult) {
	is := is.New(t)
	for id, reasons := range r.violations {
		t.Errorf("%s: %d violations, first: %s", id, len(reasons), reasons[0])
	}
	is.Equal(r.injected, 1) // the trigger step was reached, so the fault started
}

// TestFaultMatrix checks H6, H9, H13 and H15 for every step of the calls to the
// log, to the instance list and between instances, combined with each of the
// faults F1, F3, F6 to F9, F11 to F13, F17 and F18.
func TestFaultMatrix(t *testing.T) {
	runCells(t, disabledRules{}, singleFaults(*seed), requireNoViolations)
}

// TestFaultPairs checks H6, H9, H13 and H15 for every pair of faults.
func TestFaultPairs(t *testing.T) {
	runCells(t, disabledRules{}, faultPairs(*seed+1), requireNoViolations)
}
