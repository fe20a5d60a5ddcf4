// Command claims simulates claimants that claim work by appending to the log. It
// counts the voided appends per useful append for each policy of picking the next
// item: in order, at random or by rendezvous hashing.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/bench/claims"
)

func main() {
	app := kingpin.New("claims", "Counts the voided claims in the log for each policy of picking the next item.")
	out := app.Flag("out", "Markdown file to write; standard output if empty.").String()
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("20").Int()
	claimants := app.Flag("claimants", "Numbers of claimants.").Default("2", "8", "40", "200", "1600").Ints()
	items := app.Flag("items", "Numbers of items.").Default("64", "512").Ints()
	var base claims.Setting
	app.Flag("appends", "Appends a second that the log processes.").Default("300").Float64Var(&base.AppendsPerS)
	app.Flag("latency", "Minimum time from the log's processing of an append to the claimant's next one; the maximum is twice that.").Default("5ms").DurationVar(&base.Latency)
	app.Flag("wake", "Time within which all claimants learn that there is work.").Default("1s").DurationVar(&base.WakeWithin)
	app.Flag("stale", "Fraction of the claimants with a stale view of the members.").Default("0.05").Float64Var(&base.StaleShare)
	app.Flag("changed", "Fraction of the members that were just replaced.").Default("0.02").Float64Var(&base.ChangedShare)
	app.Flag("view-bound", "Time after which no view is stale.").Default("3s").DurationVar(&base.ViewBound)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	plan := claims.Plan{Claimants: *claimants, Items: *items, Seeds: *seeds, FirstSeed: *seed, Base: base}
	page := plan.Report("go run ./bench/cmd/claims " + strings.Join(os.Args[1:], " "))
	if *out == "" {
		fmt.Print(page)
		return
	}
	if err := os.WriteFile(*out, []byte(page), 0o644); err != nil {
		app.Fatalf("write the report: %v", err)
	}
}
