// Command coldstart simulates the cold-start policies and writes the results as a
// Markdown page with plots.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/bench/coldstart"
)

func main() {
	app := kingpin.New("coldstart", "Measures the order of loads and the keep-warm time.")
	seeds := app.Flag("seeds", "Number of seeds.").Default("20").Int()
	first := app.Flag("first-seed", "First seed.").Default("1").Uint64()
	out := app.Flag("out", "Directory for the page and the plots.").Default("docs/measurements").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(measure(*first, *seeds, *out), "coldstart")
}

func measure(first uint64, seeds int, out string) error {
	command := fmt.Sprintf("go run ./bench/cmd/coldstart --first-seed=%d --seeds=%d", first, seeds)
	bursts := coldstart.Bursts(first, seeds)
	warm := coldstart.KeepWarm(first, seeds)
	page := coldstart.Report(command, first, seeds, bursts, warm)
	if err := os.WriteFile(filepath.Join(out, "coldstart.md"), []byte(page), 0o644); err != nil {
		return err
	}
	fmt.Print(page)
	return coldstart.Plots(out, command, bursts, warm)
}
