// Command policy measures the team budgets, the entry queue and the routing in virtual
// time and writes the results as a Markdown page with plots.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/bench/policy"
)

func main() {
	app := kingpin.New("policy", "Measures the budget, the entry queue and the routing in virtual time.")
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("20").Int()
	out := app.Flag("out", "Directory for the page and the plots.").Default("docs/measurements").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(run(*seed, *seeds, *out), "")
}

// run runs every experiment and writes policy.md and its plots to dir.
func run(seed uint64, seeds int, dir string) error {
	experiments := []policy.Experiment{
		policy.Refusals(seed, seeds),
		policy.Fairness(seed, seeds),
		policy.LoadImbalance(seed, seeds),
	}
	var jobs []func()
	for _, e := range experiments {
		jobs = append(jobs, e.Jobs...)
	}
	if err := policy.RunInCommand(jobs); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the output directory")
	}
	page, err := os.Create(filepath.Join(dir, "policy.md"))
	if err != nil {
		return errors.Wrap(err, "create the page")
	}
	defer page.Close()
	caption := fmt.Sprintf("go run ./bench/cmd/policy --seed %d --seeds %d", seed, seeds)
	if _, err := fmt.Fprintf(page, "# Measurements of budget, queue and routing\n\nAll runs are in virtual time.\n\n"); err != nil {
		return errors.Wrap(err, "write the page")
	}
	for _, e := range experiments {
		if err := e.Report().Write(page, dir, caption); err != nil {
			return err
		}
	}
	return errors.Wrap(page.Close(), "close the page")
}
