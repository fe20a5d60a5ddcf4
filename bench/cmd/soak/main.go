// Command soak injects random faults into a fleet of the real programs, one run per
// seed, and prints the violated invariants. It exits with status 1 if a run failed.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/bench/soak"
)

func main() {
	app := kingpin.New("soak", "Injects random faults into the real programs.")
	seed := app.Flag("seed", "First seed; 0 derives one from the current time.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Int()
	length := app.Flag("length", "How long faults are injected.").Default("15s").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano() % 1_000_000)
	}
	dir, err := os.MkdirTemp("", "jacinthbend-soak-bin")
	app.FatalIfError(err, "create a temporary directory")
	binaries, err := fleet.Build(context.Background(), dir)
	app.FatalIfError(err, "build the programs")
	failed := 0
	for i := range *seeds {
		if !runSeed(soak.Options{Binaries: binaries, Seed: *seed + uint64(i), FaultDuration: *length}) {
			failed++
		}
	}
	_ = os.RemoveAll(dir)
	fmt.Printf("%d of %d seeds failed\n", failed, *seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed and reports whether it violated no invariant. It keeps the
// logs of a seed that failed.
func runSeed(o soak.Options) bool {
	var err error
	if o.Dir, err = soak.TempDir(o.Seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(o)
	if err != nil {
		fmt.Printf("seed %d: %v (logs in %s)\n", o.Seed, err, o.Dir)
		return false
	}
	fmt.Printf("seed %d: planned %v, %d faults, engines crashed by a harmful part %d, served %d of %d, after recovery %d of %d\n", r.Seed, r.PlannedOnly, len(r.Faults), r.Harmed, r.Served, r.Requests, r.ServedAfterRecovery, r.RequestsAfterRecovery)
	if len(r.Violations) == 0 {
		_ = os.RemoveAll(o.Dir)
		return true
	}
	const shown = 20
	for i, b := range r.Violations {
		if i == shown {
			fmt.Printf("  and %d more\n", len(r.Violations)-shown)
			break
		}
		fmt.Println("  broken:", b)
	}
	for _, f := range r.Faults {
		fmt.Println("  fault:", f)
	}
	fmt.Println("  logs in", o.Dir)
	return false
}
