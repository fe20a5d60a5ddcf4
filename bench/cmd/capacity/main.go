// Command capacity runs the benchmarks for docs/CAPACITY.md. It prints a Markdown table
// of each cost as a linear function of a size, and its value at the target size.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/bench/capacity"
)

func main() {
	app := kingpin.New("capacity", "Measures the costs of the capacity page.")
	benchTime := app.Flag("benchtime", "Length of each benchmark, as for go test.").Default("500ms").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	costs, err := capacity.Measure(context.Background(), capacity.Specs, *benchTime)
	app.FatalIfError(err, "measure capacity")
	fmt.Println("| cost | unit | grows with | measured (size: value) | base | slope | R2 | target size | at target |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range costs {
		fmt.Printf("| %s | %s | %s | %s | %.4g | %.4g | %.3f | %.0f | %.4g |\n",
			c.Name, c.Unit, c.Per, points(c), c.Intercept(), c.Slope(), c.R2(), c.Target, c.AtTarget())
	}
}

func points(c capacity.LinearCost) string {
	var out []string
	for _, p := range c.Points {
		out = append(out, fmt.Sprintf("%.0f: %.4g", p.Size, p.Value))
	}
	return strings.Join(out, ", ")
}
