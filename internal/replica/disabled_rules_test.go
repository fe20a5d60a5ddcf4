//go:build !race

package replica_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// TestDisabledRules checks that the tests of H6, H9, H13 and H15 detect a
// missing rule: with any one rule disabled, at least one cell must fail. It
// needs all cells, which take too long with the race detector, so CI runs it
// without.
func TestDisabledRules(t *testing.T) {
	for _, c := range []struct {
		rule     string
		disabled disabledRules
	}{
		{"view bound", disabledRules{maxViewAge: time.Hour}},
		{"outage confirmed by every data centre", disabledRules{relay: relay.DisabledRules{EveryDataCentre: true}}},
		{"age counts only for complete answers", disabledRules{relay: relay.DisabledRules{AgeRequiresOffset: true}}},
		{"age grows in transit", disabledRules{relay: relay.DisabledRules{AgeInTransit: true}}},
		{"confirmed append known to the fleet", disabledRules{offer: true}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			// A seed determines the faults, but not the order of goroutines that become
			// runnable at the same time. With the last rule disabled only 1 of 138 cells
			// fails, and on a busy machine sometimes none, so the test tries further
			// seeds before it reports that the rule has no effect.
			const seeds = 4
			failed := 0
			for s := uint64(0); s < seeds && failed == 0; s++ {
				failed = len(runCells(t, c.disabled, atPhase(singleFaults(*seed+s), beforeAnswer), func(*testing.T, cellResult) {}).failed)
			}
			is.New(t).True(failed > 0) // the rule is needed
		})
	}
}
