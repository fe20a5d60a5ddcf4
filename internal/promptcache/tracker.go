package promptcache

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

const (
	// MinTokens is the size below which a part is not reported. An engine reads that many
	// tokens in less than 2 ms, and the entry of a part costs 12 bytes for each instance.
	MinTokens = 64
	// maxKnown bounds the parts that a tracker knows, with those that were evicted, of which late
	// events may arrive. An engine with memory for 225,000 tokens holds a few hundred.
	maxKnown = 4096
	// maxPartsOfFleet bounds the reported parts of all engines together, which each entry
	// instance keeps: 65,536 parts of 9 bytes.
	maxPartsOfFleet = 1 << 16
	// fleetBytes is how many bytes of reports an entry instance gets a second from all agents
	// that it watches. The bound is 2 KB/s, since traffic between data centres is charged for.
	// It watches at most watchedEngines; the states of more agents are passed on by relays
	// within the data centre.
	fleetBytes     = 1800.0
	watchedEngines = 64
	// maxEngineBytes is the rate of one engine where there are few.
	maxEngineBytes = 400.0
	// unsureAge is after how long a listed part may be dropped for another one. The event of its
	// eviction may never have arrived, and such parts would fill the list for good.
	unsureAge = 10 * time.Minute
	// burstTime is for how long an unused rate is saved.
	burstTime = 10 * time.Second
	// minInterval is the time between two reports, and fleetReports how many an entry instance
	// gets a second from all engines together, since it decodes a state for each.
	minInterval  = 500 * time.Millisecond
	fleetReports = 36
	// eventLag is the time from an event to the report, and from the report to the instances,
	// without the interval between the reports: up to 1 s for each, and for late events.
	eventLag = 3 * time.Second
)

// interval returns the time between two reports with this many engines.
func interval(engines int) time.Duration {
	return max(minInterval, time.Duration(engines)*time.Second/fleetReports)
}

// Lag returns how long after a prompt was read its parts may be missing from the reports.
func Lag(engines int) time.Duration { return eventLag + 2*interval(engines) }

// Tracker keeps what one engine has cached, by its events, and decides which of it is
// reported. It is not safe for concurrent use.
//
// Each report goes to all entry instances, so there is one list for all. The largest changes
// are reported first, as far as the rate allows. At MaxParts new parts wait until a listed one
// leaves the cache: an engine evicts parts that are not used, so the oldest ones are shared.
type Tracker struct {
	parts map[uint64]*part
	// gone are the removals of listed parts, oldest first.
	gone []removal
	// listed is the number of parts with a reported size, floor the size of the largest part
	// that is cached and not listed.
	listed int
	floor  size
	// completeSince is the version from which on changes are known, and restarted tells that the
	// next report begins a list.
	completeSince uint64
	restarted     bool
	changedAt     uint64
	sequence      uint64

	budget             float64
	budgetAt, reportAt time.Time
}

type part struct {
	// now is the size by the events, reported that in the reports as of version.
	now, reported size
	version       uint64
	// sequence orders the parts by their last event, whose number is number. listedAt is when
	// the part was added to the list.
	sequence uint64
	number   int64
	listedAt time.Time
}

type removal struct {
	hash    uint64
	version uint64
}

// NewTracker returns a tracker of an engine with an empty cache.
func NewTracker() *Tracker { return &Tracker{parts: make(map[uint64]*part)} }

// Empty reports whether there have been no events since Reset.
func (t *Tracker) Empty() bool { return len(t.parts) == 0 }

// Len returns the number of parts that are cached, and of those that are reported.
func (t *Tracker) Len() (cached, listed int) {
	for _, p := range t.parts {
		if p.now != 0 {
			cached++
		}
	}
	return cached, t.listed
}

// Reset discards the list as of version: callers that have an earlier one get a full list,
// which is empty and says of no part that it would be listed.
func (t *Tracker) Reset(version uint64) {
	t.parts, t.gone, t.listed, t.floor = make(map[uint64]*part), nil, 0, math.MaxUint8
	t.completeSince, t.changedAt, t.restarted = version, version, true
}

// Apply takes in an event.
func (t *Tracker) Apply(e fleet.CacheEvent) {
	t.sequence++
	h := Hash(e.Name, e.ID)
	p, ok := t.parts[h]
	s := size(0)
	if e.Tokens >= MinTokens {
		s = sizeOf(e.Tokens)
	}
	if !ok {
		t.makeRoom()
		p = &part{}
		t.parts[h] = p
	}
	if e.Number > 0 && e.Number < p.number {
		return // arrived after a newer event of the part
	}
	p.now, p.sequence, p.number = s, t.sequence, e.Number
}

// makeRoom forgets parts that are not listed, those with the oldest events.
func (t *Tracker) makeRoom() {
	if len(t.parts) < maxKnown {
		return
	}
	// Listed parts are at most MaxParts, so that many others are forgotten.
	for h, p := range t.parts {
		if p.reported == 0 && p.sequence+maxKnown/2 < t.sequence {
			delete(t.parts, h)
		}
	}
}

// change is a part whose reported size differs.
type change struct {
	hash uint64
	part *part
	gain int
}

// Publish adds changes to the list as of version, and reports whether there are any; engines
// is the number of engines whose reports an entry instance gets.
func (t *Tracker) Publish(version uint64, engines int, now time.Time) bool {
	if now.Sub(t.reportAt) < interval(engines) {
		return false
	}
	t.addBudget(engines, now)
	limit := min(MaxParts, max(1, maxPartsOfFleet/max(1, engines)))
	n, floor, budget := 0, size(0), t.budget-float64(reportText)
	for _, c := range t.pending() {
		adds := c.part.reported == 0
		if adds && t.listed >= limit && budget >= 2*entryText {
			if old, ok := t.unsure(now); ok {
				old.part.now = 0
				budget -= entryText
				n++
				t.report(old, version, now)
			}
		}
		if budget < entryText || adds && t.listed >= limit {
			if adds {
				floor = max(floor, c.part.now)
			}
			continue
		}
		budget -= entryText
		n++
		t.report(c, version, now)
	}
	if n == 0 && (floor <= t.floor || budget < 0) {
		return false
	}
	t.floor, t.budget, t.reportAt, t.changedAt = floor, budget, now, version
	if t.restarted {
		// What was sent since Reset may be cached without being listed.
		t.completeSince, t.restarted = version, false
	}
	return true
}

// addBudget adds the bytes that may be reported since the last call.
func (t *Tracker) addBudget(engines int, now time.Time) {
	rate := min(maxEngineBytes, fleetBytes/float64(min(watchedEngines, max(1, engines))))
	saved := rate * max(burstTime, interval(engines)).Seconds()
	if t.budgetAt.IsZero() {
		t.budget = saved
	} else {
		t.budget = min(saved, t.budget+rate*now.Sub(t.budgetAt).Seconds())
	}
	t.budgetAt = now
}

// pending returns the parts whose change is to be reported, the largest change first, and
// removals before additions of the same size, since they make room.
func (t *Tracker) pending() []change {
	var out []change
	for h, p := range t.parts {
		gain := p.now.tokens() - p.reported.tokens()
		if gain < 0 {
			gain = -gain
		}
		// A listed part that grows or shrinks a little stays as it is.
		if gain >= MinTokens && float64(gain) >= (1-wholeShare)*float64(p.now.tokens()) {
			out = append(out, change{hash: h, part: p, gain: gain})
		}
	}
	slices.SortFunc(out, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.part.now, b.part.now), cmp.Compare(a.hash, b.hash))
	})
	return out
}

// unsure returns one of the parts that have been listed for unsureAge. It is not the oldest one,
// since the oldest ones are also those that are used again and again.
func (t *Tracker) unsure(now time.Time) (out change, found bool) {
	var lowest uint64
	for h, p := range t.parts {
		const odd = 0x9e3779b97f4a7c15
		order := (h ^ t.sequence) * odd
		if p.reported != 0 && p.now != 0 && now.Sub(p.listedAt) > unsureAge && (!found || order < lowest) {
			out, lowest, found = change{hash: h, part: p}, order, true
		}
	}
	return out, found
}

func (t *Tracker) report(c change, version uint64, now time.Time) {
	if c.part.reported == 0 {
		t.listed++
		c.part.listedAt = now
	}
	c.part.reported, c.part.version = c.part.now, version
	if c.part.now != 0 {
		return
	}
	t.listed--
	t.gone = append(t.gone, removal{hash: c.hash, version: version})
	if len(t.gone) > MaxParts {
		t.completeSince = t.gone[0].version
		t.gone = t.gone[1:]
	}
}

// Report returns what a caller that has the report as of after does not have, or "" if that is
// nothing. A caller that has none passes 0.
func (t *Tracker) Report(after uint64) string {
	if t.changedAt <= after || t.changedAt == 0 {
		return ""
	}
	full := after < t.completeSince || after == 0
	var entries []entry
	for h, p := range t.parts {
		if p.reported != 0 && (full || p.version > after) {
			entries = append(entries, entry{hash: h, size: p.reported})
		}
	}
	if !full {
		for _, r := range t.gone {
			if p, again := t.parts[r.hash]; r.version > after && (!again || p.reported == 0) {
				entries = append(entries, entry{hash: r.hash})
			}
		}
	}
	return encodeReport(full, t.floor, entries)
}
