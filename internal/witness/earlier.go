package witness

import (
	"encoding/json"
	"slices"
	"time"
)

// Earlier is what a start has learned of the earlier starts of its instance.
type Earlier struct {
	// Known tells that Quota is what the last of them had spent, but for one step.
	Known bool
	// Reason says why it is not known.
	Reason string
	Quota  Quota
	// Age is the time since Quota was true, or less.
	Age time.Duration
	// Starts are the earlier starts, and Sets the witnesses that have the records of the last ones.
	Starts []uint64
	Sets   [][]string
	// Complete tells that no later start can find a record of Starts without one of this start, once
	// a majority of each of Sets has taken one. Otherwise there may be records that were not found.
	Complete bool
	// NoWitnesses tells that there are no agents.
	NoWitnesses bool
}

// Reasons for which the spending of earlier starts is not known.
const (
	reasonNoMembers  = "no members are known"
	reasonNoAgents   = "there are no agents"
	reasonNoRecord   = "no record"
	reasonSeveral    = "records of several starts that do not know each other"
	reasonFewAnswers = "too few witnesses answered"
	reasonExpired    = "the lease had ended"
	reasonUnreadable = "the record cannot be decoded"
)

// answer is the answer of a witness to a start.
type answer struct {
	ReadResponse
	// sinceStart is the time from the start to when the call was sent, or less.
	sinceStart time.Duration
}

// maxCovered limits Earlier.Starts. A start that is not among them would have to be the 16th before
// this one within the time for which witnesses keep records.
const maxCovered = 16

// decide judges the answers of witnesses, by their names. own are the witnesses that this start
// chooses.
func decide(answers map[string]answer, own []string) Earlier {
	var e Earlier
	newest := make(map[uint64]Stored)
	covered := make(map[uint64]bool)
	for _, a := range answers {
		for _, s := range a.Records {
			if n, ok := newest[s.Start]; !ok || s.Sequence > n.Sequence {
				newest[s.Start] = s
			}
			for _, start := range s.Covers {
				covered[start] = true
			}
		}
	}
	var last []Stored
	for start, s := range newest {
		if covered[start] {
			continue
		}
		last = append(last, s)
		e.Starts = append(e.Starts, start)
		for _, set := range s.Sets {
			e.Sets = addSet(e.Sets, set)
		}
	}
	for start := range covered {
		e.Starts = append(e.Starts, start)
	}
	e.Starts = e.Starts[:min(maxCovered, len(e.Starts))]
	switch len(last) {
	case 0:
		e.Reason, e.Complete = reasonNoRecord, hasMajorities([][]string{own}, func(name string) bool { _, ok := answers[name]; return ok })
		return e
	case 1:
	default:
		e.Reason = reasonSeveral
		return e
	}
	r := last[0]
	if !hasMajorities(r.Sets, func(name string) bool { a, ok := answers[name]; return ok && a.remembers() }) {
		e.Reason = reasonFewAnswers
		return e
	}
	e.Complete = true
	leaseAge := Lease
	for _, a := range answers {
		for _, s := range a.Records {
			if s.Start != r.Start {
				continue
			}
			if age, ok := s.LeaseAge(); ok {
				leaseAge = min(leaseAge, age-a.sinceStart)
			}
			if s.Sequence == r.Sequence {
				e.Age = max(e.Age, s.Age())
			}
		}
	}
	if leaseAge+ClockMargin > Lease {
		e.Reason = reasonExpired
		return e
	}
	if err := json.Unmarshal(r.Quota, &e.Quota); err != nil || !e.Quota.Valid() {
		e.Quota, e.Reason = Quota{}, reasonUnreadable
		return e
	}
	e.Known = true
	return e
}

// remembers reports whether the witness has all records that it took whose lease had not ended when
// this start began.
func (a answer) remembers() bool {
	return time.Duration(a.UptimeMS)*time.Millisecond-a.sinceStart >= Lease+ClockMargin
}

// names returns the witnesses that a record of an earlier start names and that are not in asked.
func (a answer) names(asked func(name string) bool) []string {
	var out []string
	for _, s := range a.Records {
		for _, set := range s.Sets {
			for _, name := range set {
				if !asked(name) && !slices.Contains(out, name) {
					out = append(out, name)
				}
			}
		}
	}
	return out
}
