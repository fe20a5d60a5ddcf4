package soak

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
)

// failedSeeds once failed, for the cause named.
var failedSeeds = map[uint64]string{
	4:  "a refusal for a team's rate without Retry-After: the estimate took a time that had passed",
	32: "requests sent to an instance that had ended, by callers of the soak itself",
}

// TestSoak plays a short series of each sort, and every seed that once failed.
// It guards against promises that the programs break only as processes.
func TestSoak(t *testing.T) {
	binaries, err := fleet.Build(context.Background(), t.TempDir())
	is.New(t).NoErr(err)
	play := func(seed uint64, length time.Duration) {
		r, err := Run(Options{Binaries: binaries, Seed: seed, FaultDuration: length, Dir: t.TempDir()})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %d faults, %d of %d served, %d of %d after the recovery", seed, len(r.Faults), r.Served, r.Requests, r.ServedAfterRecovery, r.RequestsAfterRecovery)
		for _, b := range r.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
	play(1, 5*time.Second)
	for seed, cause := range failedSeeds {
		t.Logf("seed %d failed once: %s", seed, cause)
		play(seed, 12*time.Second)
	}
}
