package spill

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// typical returns an ordinary request with the full price of bytes.
func typical() Request { return Request{Objective: 800 * ms, Bytes: 11_000, Weight: 1} }

// TestDecide guards against requests that leave where that saves their callers nothing, and
// against those that stay for the price of bytes while they wait, load or miss their objective.
func TestDecide(t *testing.T) {
	calm := Option{Cost: 100 * ms, Answer: 100 * ms, Occupancy: 0.3}
	late := Option{Cost: 900 * ms, Answer: 900 * ms, Occupancy: 0.9}
	large, tight := typical(), typical()
	large.Bytes, tight.Objective = 60_000, 220*ms
	for name, row := range map[string]struct {
		request     Request
		here, there Option
		want        Decision
	}{
		"met by a margin": {typical(), Option{Cost: 150 * ms, Answer: 150 * ms, Occupancy: 0.4}, calm, Decision{Harmless: true}},
		"tight":           {tight, Option{Cost: 110 * ms, Answer: 110 * ms}, calm, Decision{Leave: true, Reason: Delay}},
		"tight, equal":    {tight, calm, calm, Decision{}},
		"price of bytes":  {large, Option{Cost: 112 * ms, Answer: 490 * ms}, calm, Decision{Harmless: true}},
		"queue":           {typical(), Option{Cost: 180 * ms, Answer: 180 * ms, Queued: 2}, calm, Decision{Leave: true, Reason: Queue}},
		"adapter load":    {typical(), Option{Cost: 115 * ms, Load: 15 * ms}, calm, Decision{Leave: true, AtOnce: true, Reason: Load}},
		"cached there": {
			typical(),
			Option{Cost: 200 * ms, PromptTime: 150 * ms, UncachedTokens: 9000},
			Option{Cost: 60 * ms, PromptTime: 10 * ms, UncachedTokens: 600},
			Decision{Leave: true, AtOnce: true, Reason: Cache},
		},
		"cached here":   {tight, Option{Cost: 110 * ms, Answer: 110 * ms, PromptTime: 10 * ms}, Option{Cost: 106 * ms, PromptTime: 50 * ms, UncachedTokens: 900}, Decision{Harmless: true}},
		"failing here":  {typical(), Option{Cost: 300 * ms, Penalty: 200 * ms}, calm, Decision{Leave: true, AtOnce: true, Reason: Failure}},
		"failing there": {typical(), late, Option{Cost: 1200 * ms, Penalty: 1100 * ms, Occupancy: 0.1}, Decision{}},
		"full":          {typical(), Option{Cost: 50 * ms, Occupancy: 1.2}, Option{Cost: 20 * ms, Occupancy: 0.5}, Decision{Leave: true, AtOnce: true, Reason: Full}},
		"all full":      {typical(), Option{Cost: 50 * ms, Occupancy: 1.2}, Option{Cost: 50 * ms, Occupancy: 1.2}, Decision{}},
		"late":          {typical(), late, calm, Decision{Leave: true, AtOnce: true, Reason: Late}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Decide(row.request, row.here, row.there), row.want)
		})
	}
}

// TestGuestsGiveWay guards against requests from outside that fill a data centre until its own
// requests have to leave: under the same load, the own ones stay longer.
func TestGuestsGiveWay(t *testing.T) {
	check := is.New(t)
	full, free := Option{Cost: 50 * ms, Occupancy: 0.9}, Option{Cost: 42 * ms, Occupancy: 0.3}
	check.True(Decide(typical(), full, free).Leave)
	free.Occupancy = 0.9
	check.True(!Decide(typical(), full, free).Leave)
}

// TestDamping guards against instances that all leave or all return within the age of a report:
// at any rate, the share moves by at most half of the requests a second.
func TestDamping(t *testing.T) {
	for _, interval := range []time.Duration{ms, 20 * ms, 200 * ms} {
		check := is.New(t)
		var d Damper
		now, left, early := time.Unix(1, 0), 0, 0
		leaves, _ := d.Leaves(Decision{Leave: true, AtOnce: true, Reason: Late}, now)
		check.True(leaves) // what would be late is not held back
		for i := range int(8 * time.Second / interval) {
			before := d.Share()
			wants := time.Duration(i)*interval < 4*time.Second
			now = now.Add(interval)
			leaves, _ := d.Leaves(Decision{Leave: wants, Harmless: true, Reason: Delay}, now)
			change := d.Share() - before
			check.True(max(change, -change) <= 0.5*interval.Seconds()) // bounded change
			if leaves && !wants {
				left++
			}
			if leaves && time.Duration(i)*interval < time.Second {
				early++
			}
		}
		check.True(early <= int(time.Second/interval)/2)                     // in the first second
		check.True(d.Share() < 0.2)                                          // given back
		check.True(interval == 200*ms || left > int(time.Second/interval)/2) // but gradually
		check.True(left < int(2*time.Second/interval))
	}
}
