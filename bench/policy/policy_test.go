package policy

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestExperiments checks on one seed that each policy meets its target for wrongly
// refused requests, goodput of the worst-served team or load imbalance. For
// goodput a baseline must miss the target, and for load imbalance it must be worse;
// otherwise the experiment would show nothing. Command policy runs all seeds.
func TestExperiments(t *testing.T) {
	for name, c := range map[string]struct {
		make func(seed uint64, seeds int) Experiment
		// meetsTarget reports whether row i of the table meets the target.
		meetsTarget func(rows [][]string, i int) bool
	}{
		"refusals": {Refusals, func(rows [][]string, i int) bool {
			row := rows[i]
			targets := map[string]float64{"calm": 0.1, "one instance lost": 1}
			target, ok := targets[row[1]]
			return (!ok || number(row[3]) < target) && row[9] == "0"
		}},
		"fairness": {Fairness, func(rows [][]string, i int) bool {
			fair, fifo, noGuarantee := number(rows[i][2]), number(rows[i][4]), number(rows[i][6])
			return fair >= 0.95 && min(fifo, noGuarantee) < 0.95
		}},
		"load imbalance": {LoadImbalance, func(rows [][]string, i int) bool {
			baseline := rows[i|1] // the row after the policy's row, for the same size
			return i%2 == 1 || number(rows[i][2]) < number(baseline[2])
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := c.make(1, 1)
			t.Run("runs", func(t *testing.T) { RunAll(t, e.Jobs) })
			report := e.Report()
			for i, row := range report.Table.Rows {
				t.Log(strings.Join(row, " | "))
				if !c.meetsTarget(report.Table.Rows, i) {
					t.Errorf("target missed: %v", row)
				}
			}
			dir := t.TempDir()
			page, err := os.Create(filepath.Join(dir, "page.md"))
			is.NoErr(err)
			is.NoErr(report.Write(page, dir, "test"))
			is.NoErr(page.Close())
		})
	}
}

func number(cell string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSuffix(cell, "%"), 64)
	if err != nil {
		panic(err)
	}
	return v
}
