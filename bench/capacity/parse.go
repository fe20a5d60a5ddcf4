package capacity

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// benchmarkResult is one result line of go test -bench.
type benchmarkResult struct {
	name   string
	values map[string]float64
}

var (
	numbers = regexp.MustCompile(`\d+`)
	// procsSuffix is the GOMAXPROCS suffix that package testing adds to benchmark names.
	procsSuffix = regexp.MustCompile(`-\d+$`)
)

// parse returns the benchmark results in the output of go test -bench.
func parse(r io.Reader) ([]benchmarkResult, error) {
	var out []benchmarkResult
	s := bufio.NewScanner(r)
	for s.Scan() {
		fields := strings.Fields(s.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		result := benchmarkResult{name: procsSuffix.ReplaceAllString(fields[0], ""), values: make(map[string]float64)}
		for i := 2; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "parse value of %s", result.name)
			}
			result.values[fields[i+1]] = v
		}
		out = append(out, result)
	}
	return out, errors.Wrap(s.Err(), "read benchmark output")
}

// points returns the measurements that the spec selects, smallest size first.
func (s Spec) points(results []benchmarkResult) ([]Point, error) {
	var out []Point
	for _, result := range results {
		if !strings.HasPrefix(result.name, s.Prefix) || !strings.HasSuffix(result.name, s.Suffix) {
			continue
		}
		found := numbers.FindAllString(strings.TrimPrefix(result.name, s.Prefix), -1)
		value, ok := result.values[s.Metric]
		if s.SizeIndex >= len(found) || !ok {
			continue
		}
		size, err := strconv.ParseFloat(found[s.SizeIndex], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parse size of %s", result.name)
		}
		out = append(out, Point{Size: size, Value: value})
	}
	if len(out) < 3 {
		return nil, errors.Errorf("benchmark %s %s has results for %d sizes, at least 3 are needed", s.Package, s.Prefix, len(out))
	}
	slices.SortFunc(out, func(a, b Point) int { return int(a.Size - b.Size) })
	return out, nil
}
