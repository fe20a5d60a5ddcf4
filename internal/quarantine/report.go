package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what one instance tells the others: the crashes of upstreams at which its
// requests ran, and which suspects have completed since.
type Report struct {
	// Start identifies the start of the instance, and Number counts its reports: reports
	// may arrive by two ways, and out of order.
	Start  string `json:"start,omitempty"`
	Number int64  `json:"number,omitempty"`
	// WrittenMS is when the report was made, by the clock that dates its crashes.
	WrittenMS int64   `json:"written_ms,omitempty"`
	Crashes   []Crash `json:"crashes"`

	live bool
}

// Live returns the report with the mark that it has just been made, as one that arrives while
// this instance waits for reports.
func (r Report) Live() Report {
	r.live = true
	return r
}

// olderThan reports whether the same start of the instance has made o later.
func (r Report) olderThan(o Report) bool {
	return r.Start != "" && r.Start == o.Start && r.Number < o.Number
}

// Report returns this instance's report. It leaves out what quarantines nothing: suspects that
// it has cleared itself, and for a crash that a quarantined suspect explains those that it
// is the only evidence against.
func (t *Table) Report() Report {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now)
	t.attribute(now)
	t.reportNumber++
	r := Report{Start: t.start, Number: t.reportNumber, WrittenMS: now.UnixMilli(), Crashes: make([]Crash, 0, len(t.own))}
	for _, c := range t.own {
		out := c.clone()
		out.AtMS = r.WrittenMS - now.Sub(c.at).Milliseconds()
		explained := t.explains(c) > 0
		maps.DeleteFunc(out.Suspects, func(s Suspect, _ int) bool {
			return c.Cleared[s] || explained && t.evidence(s) <= warmWeight
		})
		maps.DeleteFunc(out.NotBegun, func(s Suspect, _ bool) bool { _, kept := out.Suspects[s]; return !kept })
		// A clearance matters only to instances that report the suspect.
		maps.DeleteFunc(out.Cleared, func(s Suspect, _ bool) bool { return !t.reportedByOthers(c.ID, s) })
		if len(out.Suspects)+len(out.Cleared) > 0 {
			r.Crashes = append(r.Crashes, *out)
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.ID, b.ID)) })
	t.limitSuspects(r.Crashes)
	return r
}

// maxReportedSuspects bounds the suspects of all crashes of a report, so that the store takes it:
// one takes up to 100 bytes of a record of 256 KiB, and a crash up to 400.
const maxReportedSuspects = 2300

// limitSuspects keeps those suspects of a report with the most evidence against them, of the
// newest crashes first.
func (t *Table) limitSuspects(crashes []Crash) {
	type entry struct {
		crash  int
		weight int
		s      Suspect
	}
	weights := weigh(slices.Collect(maps.Values(t.crashes)), nil, func(Suspect, int) bool { return true })
	var all []entry
	room := maxReportedSuspects
	for i, c := range crashes {
		room -= len(c.Cleared)
		for s := range c.Suspects {
			all = append(all, entry{i, weights[s], s})
		}
	}
	if room = max(0, room); len(all) <= room {
		return
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(b.crash, a.crash), cmp.Compare(a.s, b.s))
	})
	for _, e := range all[room:] {
		delete(crashes[e.crash].Suspects, e.s)
		delete(crashes[e.crash].NotBegun, e.s)
	}
}

func (t *Table) reportedByOthers(crashID string, s Suspect) bool {
	for _, r := range t.reports {
		for i := range r.Crashes {
			if _, ok := r.Crashes[i].Suspects[s]; ok && r.Crashes[i].ID == crashID {
				return true
			}
		}
	}
	return false
}

// usable returns the crashes of a report that may be used: records come from other
// processes, of other versions and with other clocks.
func (r Report) usable(now time.Time) []Crash {
	var out []Crash
	for _, c := range r.Crashes[max(0, len(r.Crashes)-maxCrashes):] {
		age := r.age(c, now)
		if c.ID == "" || len(c.ID) > maxCrashIDBytes || len(c.Suspects) > maxSuspects || age < 0 || age >= Retention {
			continue
		}
		valid := c.clone()
		valid.at = now.Add(-age)
		maps.DeleteFunc(valid.Suspects, func(s Suspect, position int) bool { return !s.valid() || position < 0 || position > maxParts })
		maps.DeleteFunc(valid.NotBegun, func(s Suspect, notBegun bool) bool { _, known := valid.Suspects[s]; return !known || !notBegun })
		maps.DeleteFunc(valid.Cleared, func(s Suspect, cleared bool) bool { return !s.valid() || !cleared })
		out = append(out, *valid)
	}
	return out
}

// age returns how long ago a crash of the report was noticed. The clock that dates a report may
// be ahead of or behind this one, so only the difference between its two times is certain. How
// long a report took that is not live depends on both clocks.
func (r Report) age(c Crash, now time.Time) time.Duration {
	if r.WrittenMS == 0 {
		r.WrittenMS = now.UnixMilli()
	}
	age := time.Duration(r.WrittenMS-c.AtMS) * time.Millisecond
	took := now.Sub(time.UnixMilli(r.WrittenMS))
	switch {
	case age < 0 || age >= Retention:
		return Retention
	case r.live || took < 0:
		return age
	default:
		return age + took
	}
}

// maxCrashIDBytes bounds the id of a crash, an upstream's id and its start.
const maxCrashIDBytes = 256

// SetReport replaces the report of another instance, unless it is older than the known one.
func (t *Table) SetReport(instance string, r Report) {
	now := time.Now()
	r.Crashes = r.usable(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.reports[instance]; ok && r.olderThan(known) {
		return
	}
	if len(r.Crashes) == 0 && r.Start == "" {
		delete(t.reports, instance)
	} else {
		t.reports[instance] = r
	}
	t.merge(now)
}

// Restore adds what an earlier start of this instance reported.
func (t *Table) Restore(r Report) {
	if r.Start == t.start {
		return
	}
	now := time.Now()
	r.Crashes = r.usable(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range r.Crashes {
		c := r.Crashes[i].clone()
		if known, ok := t.own[c.ID]; ok {
			c.merge(known)
		}
		t.own[c.ID] = c
	}
	t.merge(now)
}
