package fleetsim

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/config"
)

// matrixSeeds is 1 for the run on each change and higher for longer runs.
var matrixSeeds = flag.Int("h7seeds", 1, "seeds per cell of the fault matrix; above 1, the tests with a rule disabled also run the whole matrix")

// runMatrix runs each cell with the given number of seeds, and returns the number
// of runs and how many of them spent more than rate x t + burst in some window.
func runMatrix(t *testing.T, disabled Rule, cells []Cell, seeds int) (bad, runs int) {
	var mu sync.Mutex
	t.Run("cells", func(t *testing.T) {
		for _, cell := range cells {
			t.Run(cell.Name, func(t *testing.T) {
				t.Parallel()
				for seed := 1; seed <= seeds; seed++ {
					violations := runCell(t, cell, uint64(seed), disabled)
					mu.Lock()
					runs++
					if len(violations) > 0 {
						bad++
					}
					mu.Unlock()
					if disabled == "" && len(violations) > 0 {
						t.Errorf("seed %d: %+v", seed, violations)
					}
				}
			})
		}
	})
	return bad, runs
}

// controlCells returns cells in which disabling a rule is known to cause a
// violation.
func controlCells() []Cell {
	var out []Cell
	for _, c := range Cells() {
		if strings.Contains(c.Name, "all but one") || strings.HasSuffix(c.Name, "among many") {
			out = append(out, c)
		}
	}
	return out
}

func runCell(t *testing.T, cell Cell, seed uint64, disabled Rule) []Violation {
	s := cell.Scenario(seed)
	s.DisabledRule = disabled
	var r *Result
	synctest.Test(t, func(*testing.T) { r = Run(s) })
	if r.FaultsApplied == 0 {
		t.Errorf("seed %d: no fault was injected", seed)
	}
	if disabled == "" && len(r.Charges) == 0 {
		t.Errorf("seed %d: nothing was spent", seed)
	}
	return Check(r.Charges, s.Teams)
}

// TestRateAndBurstBound guards against spending more than rate x t + burst in any
// time window t, in every cell of the fault matrix (H7).
func TestRateAndBurstBound(t *testing.T) {
	bad, runs := runMatrix(t, "", Cells(), *matrixSeeds)
	t.Logf("H7: %d violations out of %d cells", bad, runs)
}

// TestBoundNeedsEachRule guards against a matrix or a checker that does not notice
// that a rule is missing (H7).
func TestBoundNeedsEachRule(t *testing.T) {
	cells := controlCells()
	if *matrixSeeds > 1 {
		cells = Cells()
	}
	for _, rule := range Rules() {
		t.Run(string(rule), func(t *testing.T) {
			is := is.New(t)
			bad, runs := runMatrix(t, rule, cells, *matrixSeeds)
			t.Logf("H7 without %s: %d violations out of %d cells", rule, bad, runs)
			is.True(bad > 0)
		})
	}
}

// TestSameSeedSameCharges guards against runs that are not reproducible. It leaves
// out cells with pauses: goroutines that reach a pause at the same instant resume
// in an order that the seed does not determine.
func TestSameSeedSameCharges(t *testing.T) {
	for i, cell := range Cells() {
		if i%5 != 0 || strings.Contains(cell.Name, string(Pause)) {
			continue
		}
		t.Run(cell.Name, func(t *testing.T) {
			var sums [2][]spending
			for k := range sums {
				s := cell.Scenario(1)
				synctest.Test(t, func(*testing.T) { sums[k] = sumByTime(Run(s).Charges, "large") })
			}
			is.New(t).True(slices.Equal(sums[0], sums[1]))
		})
	}
}

// TestChecker guards against a checker that misses a violation or reports one
// where there is none.
func TestChecker(t *testing.T) {
	team := map[string]config.Team{"t": {RateTokensPerS: 10, BurstTokens: 30}}
	type charge struct {
		at     time.Duration
		tokens float64
	}
	for name, c := range map[string]struct {
		charges []charge
		bad     bool
	}{
		"burst at once":                {[]charge{{0, 30}}, false},
		"beyond the burst at once":     {[]charge{{0, 31}}, true},
		"burst then rate":              {[]charge{{0, 30}, {time.Second, 10}, {2 * time.Second, 10}}, false},
		"burst then more than rate":    {[]charge{{0, 30}, {time.Second, 10}, {2 * time.Second, 11}}, true},
		"late window":                  {[]charge{{0, 1}, {time.Minute, 20}, {time.Minute + time.Second, 21}}, true},
		"settled at the time of spend": {[]charge{{0, 40}, {0, -10}}, false},
		"out of order":                 {[]charge{{time.Second, 11}, {0, 30}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var list []budget.Charge
			for _, x := range c.charges {
				list = append(list, budget.Charge{Team: "t", At: time.Unix(100, 0).Add(x.at), Tokens: x.tokens})
			}
			is.Equal(len(Check(list, team)) > 0, c.bad)
		})
	}
}
