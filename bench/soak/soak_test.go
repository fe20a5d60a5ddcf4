package soak

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
)

// regressionSeeds failed in the past; the value is the cause.
var regressionSeeds = map[uint64]string{
	4:     "a rate-limit refusal had no Retry-After: the wait was estimated from a time that had passed",
	88003: "a part of many prompts was refused for ten minutes, because requests with it ran at all engines that another part crashed",
	32:    "the soak's own callers sent requests to an instance that had exited",
}

// TestSoak runs one seed with all faults for a short time, and every seed that
// failed in the past, with planned operations only. It guards against violations that
// occur only when the programs run as separate processes.
func TestSoak(t *testing.T) {
	binaries, err := fleet.Build(context.Background(), t.TempDir())
	is.New(t).NoErr(err)
	run := func(seed uint64, duration time.Duration) {
		r, err := Run(Options{Binaries: binaries, Seed: seed, FaultDuration: duration, Dir: t.TempDir()})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %d faults, %d of %d served, %d of %d after the recovery", seed, len(r.Faults), r.Served, r.Requests, r.ServedAfterRecovery, r.RequestsAfterRecovery)
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
	run(1, 5*time.Second)
	run(3, 5*time.Second) // with a part in prompts that crashes engines
	for seed, cause := range regressionSeeds {
		t.Logf("seed %d failed in the past: %s", seed, cause)
		run(seed, 12*time.Second)
	}
}
