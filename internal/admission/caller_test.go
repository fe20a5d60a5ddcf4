package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMayWait guards against requests that are held although their caller is better served by
// coming back, or is gone when the tokens come; and against refusing those that could be served.
func TestMayWait(t *testing.T) {
	const ms = time.Millisecond
	for name, row := range map[string]struct {
		objective, deadline, patience, waited, eta time.Duration
		want                                       bool
	}{
		"within the objective":                 {5 * time.Second, 15 * time.Second, 0, 0, 2400 * ms, true},
		"too late for the objective":           {5 * time.Second, 15 * time.Second, 0, 0, 2600 * ms, false},
		"the objective counts from the start":  {5 * time.Second, 15 * time.Second, 0, 500 * ms, 2100 * ms, false},
		"could not come back":                  {5 * time.Second, 15 * time.Second, 0, 0, 5100 * ms, true},
		"too late to be answered":              {5 * time.Second, 15 * time.Second, 0, 0, 9100 * ms, false},
		"the caller of a stream leaves before": {500 * ms, 15 * time.Second, 2 * time.Second, 0, 5100 * ms, false},
		"short deadline":                       {120 * ms, time.Second, 0, 0, 400 * ms, true},
		"short deadline, can come back":        {120 * ms, time.Second, 0, 0, 300 * ms, false},
		"no objective":                         {0, 15 * time.Second, 0, 0, 100 * ms, false},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			start := time.Unix(1000, 0)
			now := start.Add(row.waited)
			c := Caller{Start: start, Deadline: start.Add(row.deadline), Objective: row.objective, Patience: row.patience}
			check.Equal(c.MayWait(now, row.eta), row.want)
			check.True(!row.want || row.eta <= c.Longest(now)) // else nothing is booked
		})
	}
}
