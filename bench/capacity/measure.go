package capacity

import (
	"bytes"
	"context"
	"os/exec"

	"github.com/pkg/errors"
)

const internalPath = "github.com/jacinthbend/jacinthbend/internal/"

// Measure runs the benchmarks of all specs and fits a LinearCost to each. It runs one
// package at a time so that the benchmarks do not disturb each other.
func Measure(ctx context.Context, specs []Spec, benchTime string) ([]LinearCost, error) {
	resultsByPackage := make(map[string][]benchmarkResult)
	var out []LinearCost
	for _, spec := range specs {
		results, ok := resultsByPackage[spec.Package]
		if !ok {
			var err error
			if results, err = runBenchmarks(ctx, spec.Package, benchTime); err != nil {
				return nil, err
			}
			resultsByPackage[spec.Package] = results
		}
		points, err := spec.points(results)
		if err != nil {
			return nil, err
		}
		cost := LinearCost{Name: spec.Name, Per: spec.Per, Unit: spec.Metric, Points: points, Target: spec.Target}
		cost.Fit()
		out = append(out, cost)
	}
	return out, nil
}

func runBenchmarks(ctx context.Context, pkg, benchTime string) ([]benchmarkResult, error) {
	cmd := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", ".", "-benchmem", "-benchtime", benchTime, internalPath+pkg)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return nil, errors.Wrapf(err, "run benchmarks of %s: %s", pkg, out)
	}
	return parse(bytes.NewReader(out))
}
