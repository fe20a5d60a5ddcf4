// Command rules removes rules of the product from a copy of its sources, one at a time, and
// reports which ones no test notices. It exits with status 1 if there are any.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/bench/rules"
)

func main() {
	app := kingpin.New("rules", "Removes rules of the product one at a time and runs the tests that should notice it.")
	root := app.Flag("root", "Root of the repository.").Default(".").ExistingDir()
	only := app.Flag("only", "Check only rules whose name contains this text.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	missed, err := run(context.Background(), *root, *only)
	app.FatalIfError(err, "")
	if missed > 0 {
		os.Exit(1)
	}
}

func run(ctx context.Context, root, only string) (missed int, err error) {
	all, err := rules.All()
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "jacinthbend-rules")
	if err != nil {
		return 0, errors.Wrap(err, "create a temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := rules.Copy(root, dir); err != nil {
		return 0, errors.Wrap(err, "copy the sources")
	}
	checked := 0
	for _, r := range all {
		if !strings.Contains(r.Name, only) {
			continue
		}
		result, err := rules.Check(ctx, dir, r)
		if err != nil {
			return missed, err
		}
		checked++
		verdict := "noticed by"
		if !result.Noticed {
			missed++
			verdict = "NOT noticed by"
		}
		fmt.Printf("%s: %s %s\n", r.Name, verdict, r.Test)
	}
	fmt.Printf("%d of %d rules not noticed\n", missed, checked)
	return missed, nil
}
