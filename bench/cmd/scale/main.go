// Command scale runs fleets of real processes of several sizes. It prints a Markdown
// table of the cost per process and of the time until a change is in force everywhere.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/bench/scale"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

func main() {
	app := kingpin.New("scale", "Measures idle fleets of real processes.")
	sizes := app.Flag("instances", "Instances of a run; a quarter are entry instances. Repeatable.").Default("20", "60", "120").Ints()
	adapters := app.Flag("adapters", "Configured adapters of a run. Repeatable.").Default("200").Ints()
	fakeMembers := app.Flag("phantoms", "Additional members without a process, to measure the memory of a large view.").Default("0").Int()
	idle := app.Flag("idle", "How long the idle fleet is measured.").Default("20s").Duration()
	changes := app.Flag("changes", "Changes whose time until in force is measured.").Default("20").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	dir, err := os.MkdirTemp("", "jacinthbend-scale")
	app.FatalIfError(err, "create a temporary directory")
	defer os.RemoveAll(dir)
	binaries, err := fleet.Build(context.Background(), dir)
	app.FatalIfError(err, "build the programs")
	fmt.Println("| instances | adapters | join s | CPU ms/s median (max) | bytes/s median (max) | messages/s median (max) | RSS MiB median (max) | log reads/s | log appends/s | force ms median (max) |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range *sizes {
		for _, a := range *adapters {
			r, err := scale.Run(context.Background(), options(binaries, dir, n, a, *fakeMembers, *idle, *changes))
			app.FatalIfError(err, "run with %d instances", n)
			printRow(r)
		}
	}
}

func options(b fleet.Binaries, dir string, instances, adapters, fakeMembers int, idle time.Duration, changes int) scale.Options {
	const instancesPerEntry = 4
	entries := max(1, instances/instancesPerEntry)
	return scale.Options{
		Fleet: fleet.Options{
			Binaries: b, Dir: dir, DataCentres: []string{"dc-1", "dc-2", "dc-3", "dc-4", "dc-5"},
			Entries: entries, Engines: instances - entries,
			Engine:    standin.EngineOptions{MemoryMiB: 1 << 20, TokenInterval: 32 * time.Millisecond},
			LoadsPerS: 4, MaxLoads: 4, FetchTime: 100 * time.Millisecond, LogLevel: "error", DrainTimeoutS: 5,
		},
		Adapters: adapters, FakeMembers: fakeMembers, IdleDuration: idle, Changes: changes,
	}
}

func printRow(r scale.Result) {
	fmt.Printf("| %d | %d | %.1f | %.1f (%.1f) | %.0f (%.0f) | %.1f (%.1f) | %.1f (%.1f) | %.1f | %.2f | %.0f (%.0f) |\n",
		r.Instances, r.Adapters, r.JoinTime.Seconds(), r.CPU.Median, r.CPU.Max, r.Bytes.Median, r.Bytes.Max,
		r.Calls.Median, r.Calls.Max, r.RSS.Median, r.RSS.Max, r.LogReads, r.LogAppends, r.Propagation.Median, r.Propagation.Max)
}
