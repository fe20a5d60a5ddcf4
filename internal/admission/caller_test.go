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
		objective, deadline, waited, eta time.Duration
		want                             bool
	}{
		"within the objective":                {5 * time.Second, 15 * time.Second, 0, 2400 * ms, true},
		"too late for the objective":          {5 * time.Second, 15 * time.Second, 0, 2600 * ms, false},
		"the objective counts from the start": {5 * time.Second, 15 * time.Second, 500 * ms, 2100 * ms, false},
		"late, although it could not return":  {5 * time.Second, 15 * time.Second, 0, 5100 * ms, false},
		"too late to be answered":             {5 * time.Second, 15 * time.Second, 0, 9100 * ms, false},
		"long after a short objective":        {500 * ms, 15 * time.Second, 0, 5100 * ms, false},
		"short objective":                     {120 * ms, time.Second, 0, 50 * ms, true},
		"late for a short objective":          {120 * ms, time.Second, 0, 70 * ms, false},
		"no objective":                        {0, 15 * time.Second, 0, 100 * ms, false},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			start := time.Unix(1000, 0)
			now := start.Add(row.waited)
			c := Caller{Start: start, Deadline: start.Add(row.deadline), Objective: row.objective}
			check.Equal(c.MayWait(now, row.eta), row.want)
			check.True(!row.want || row.eta <= c.Longest(now)) // else nothing is booked
		})
	}
}

// TestTokensKeptForLateCallers guards against tokens that are kept for callers whom they serve late, as if they
// served them in time: they would be missing for others of the team whom they serve in time. On a calm day, twice
// as many answers were late as without bookings.
func TestTokensKeptForLateCallers(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	c := Caller{Start: now, Deadline: now.Add(15 * time.Second), Objective: 500 * time.Millisecond}
	check.True(c.Longest(now) < c.Objective)
	check.Equal(c.Longest(now.Add(c.Objective)), time.Duration(0))
	check.Equal(c.Returns(now), 5*time.Second)
	c.Objective = 5 * time.Second
	check.True(c.Longest(now) >= 4*time.Second) // comes back in time
}
