package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Table holds the crashes that an instance and the others know of, and what follows from
// them. It is safe for concurrent use.
type Table struct {
	// active is set while any crash is known. Without one, requests are not looked at.
	active atomic.Bool
	// changed receives a value when this instance's report should be published.
	changed chan struct{}
	// start identifies this start of the instance.
	start string

	mu sync.Mutex
	// own are the crashes that this instance reports, and reports those of the others by
	// name.
	own     map[string]*Crash
	reports map[string]Report
	// reportNumber is the number of reports made.
	reportNumber int64
	// crashes merges all of them, by id; attribution follows from it.
	crashes     map[string]*Crash
	attribution attribution
	// stale tells that there is evidence since the last attribution; attributedAt is when the
	// last was.
	stale        bool
	attributedAt time.Time
	// mergedAt is when old crashes were last dropped.
	mergedAt time.Time
	// completed has the time at which requests with a part last completed here.
	completed *simplelru.LRU[Suspect, time.Time]
	trials    trials
}

const (
	// maxCompletedParts bounds the parts of which it is known that requests complete.
	maxCompletedParts = 4096
	// completionTime is how long a completion speaks for a part.
	completionTime = 30 * time.Second
	// attributionInterval is how old the attribution may be that Check uses. All requests at an
	// upstream that crashes add evidence at the same time.
	attributionInterval = 20 * time.Millisecond
	// expiryInterval is how often old crashes are dropped at least.
	expiryInterval = time.Minute
)

// NewTable returns a table without crashes.
func NewTable() *Table {
	completed, err := simplelru.NewLRU[Suspect, time.Time](maxCompletedParts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Table{
		changed: make(chan struct{}, 1), start: strconv.FormatUint(rand.Uint64(), 36), own: make(map[string]*Crash), reports: make(map[string]Report),
		crashes: make(map[string]*Crash), completed: completed, trials: newTrials(),
	}
}

// SetInstances sets the position of this instance among the entry instances, and their
// number.
func (t *Table) SetInstances(rank, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trials.rank, t.trials.count = int64(rank), int64(max(1, count))
}

// Active reports whether any crash is known.
func (t *Table) Active() bool { return t.active.Load() }

// Changed receives a value when Report should be published.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// RecordCrash records that an upstream crashed while a request with these suspects ran
// there; begun tells that its answer had begun. Requests that ran at the same upstream add to
// the same crash.
func (t *Table) RecordCrash(id string, cold, begun bool, suspects []Suspect) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.ownCrash(id, now)
	c.Cold = c.Cold || cold
	for position, s := range suspects {
		c.addSuspect(s, position)
		if _, ok := c.Suspects[s]; ok && !begun {
			c.NotBegun[s] = true
		}
	}
	if len(t.own) > maxCrashes {
		t.merge(now)
	} else {
		t.mergeCrash(c)
	}
	t.signal()
}

// ownCrash returns this instance's entry of a crash, which it creates if needed.
func (t *Table) ownCrash(id string, now time.Time) *Crash {
	c, ok := t.own[id]
	if !ok {
		c = (&Crash{ID: id, at: now}).clone()
		t.own[id] = c
	}
	return c
}

// RecordComplete records that a request with these suspects has completed, which clears
// them of the crashes known by now.
func (t *Table) RecordComplete(suspects []Suspect) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	urgent := false
	for _, s := range suspects {
		if s.isPart() {
			t.completed.Add(s, now)
		}
		// One crash quarantines nothing, so the others may learn of its clearance later.
		urgent = urgent || t.evidence(s) >= quarantineWeight-warmWeight
		for id, c := range t.crashes {
			if !counts(c, s) {
				continue
			}
			own := t.ownCrash(id, now)
			own.at, own.Cold = c.at, c.Cold
			own.Cleared[s], c.Cleared[s] = true, true
			t.stale = true
		}
	}
	if urgent {
		t.signal()
	}
}

// evidence returns the weight of all crashes that count against a suspect.
func (t *Table) evidence(s Suspect) int {
	w := 0
	for _, c := range t.crashes {
		if counts(c, s) {
			w += c.weight(s)
		}
	}
	return w
}

// Check returns the quarantined one among the suspects of a request and until when it is
// refused. ok is false if there is none. Once the time of a suspect is up, only one request
// in each turn of this instance is not refused, until one completes. serial tells the requests
// of this instance apart.
func (t *Table) Check(serial uint64, suspects []Suspect) (found Suspect, until time.Time, ok bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.attributedAt) >= attributionInterval {
		t.attribute(now)
	}
	var turn []Suspect
	for _, s := range suspects {
		until, quarantined := t.attribution.quarantined[s]
		switch {
		case !quarantined:
			continue
		case !now.Before(until) && t.trials.mayStart(s, serial, now):
			turn = append(turn, s)
			continue
		case !now.Before(until):
			until = t.trials.next(now)
		}
		return s, until, true
	}
	for _, s := range turn {
		t.trials.start(s, serial, now)
	}
	return "", time.Time{}, false
}

// MayRetry reports whether a request may be sent to another upstream after the one that
// ran it crashed. It may not if one further crash would quarantine one of its suspects.
func (t *Table) MayRetry(suspects []Suspect) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attribute(now)
	return !slices.ContainsFunc(suspects, func(s Suspect) bool {
		_, quarantined := t.attribution.quarantined[s]
		return quarantined || t.attribution.weights[s] >= quarantineWeight-warmWeight
	})
}

// Quarantined returns how many suspects are quarantined.
func (t *Table) Quarantined() int {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attribute(now)
	return len(t.attribution.quarantined)
}

// attribute attributes the crashes if there is new evidence or a suspect's time is up.
func (t *Table) attribute(now time.Time) {
	if len(t.crashes) > 0 && now.Sub(t.mergedAt) >= expiryInterval {
		t.merge(now)
	}
	if !t.stale && (t.attribution.again.IsZero() || now.Before(t.attribution.again)) {
		return
	}
	t.stale, t.attributedAt = false, now
	t.trials.expire(now)
	t.attribution = attribute(slices.Collect(maps.Values(t.crashes)), func(s Suspect) bool {
		at, ok := t.completed.Peek(s)
		return ok && now.Sub(at) < completionTime
	}, now)
}

// merge collects the crashes that all instances know of.
func (t *Table) merge(now time.Time) {
	t.expire(now)
	clear(t.crashes)
	for _, c := range t.own {
		t.mergeCrash(c)
	}
	for _, r := range t.reports {
		for i := range r.Crashes {
			t.mergeCrash(&r.Crashes[i])
		}
	}
	t.stale, t.mergedAt = true, now
	t.active.Store(len(t.crashes) > 0)
}

func (t *Table) mergeCrash(c *Crash) {
	if known, ok := t.crashes[c.ID]; ok {
		known.merge(c)
	} else {
		t.crashes[c.ID] = c.clone()
	}
	t.stale = true
	t.active.Store(true)
}

// expire drops crashes older than Retention, and those beyond maxCrashes.
func (t *Table) expire(now time.Time) {
	old := func(c *Crash) bool { return now.Sub(c.at) >= Retention }
	maps.DeleteFunc(t.own, func(_ string, c *Crash) bool { return old(c) })
	for name, r := range t.reports {
		if slices.IndexFunc(r.Crashes, func(c Crash) bool { return old(&c) }) < 0 {
			continue
		}
		r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return old(&c) })
		t.reports[name] = r
	}
	if len(t.own) <= maxCrashes {
		return
	}
	// Crashes that explain a quarantine are needed for as long as it lasts.
	all := slices.Collect(maps.Values(t.own))
	slices.SortFunc(all, func(a, b *Crash) int {
		return cmp.Or(cmp.Compare(t.explains(b), t.explains(a)), b.at.Compare(a.at))
	})
	for _, c := range all[maxCrashes:] {
		delete(t.own, c.ID)
	}
}

// explains returns 1 if a crash counts against a quarantined suspect.
func (t *Table) explains(c *Crash) int {
	for s := range t.attribution.quarantined {
		if counts(c, s) {
			return 1
		}
	}
	return 0
}

// Republish makes Changed report a change if this instance has reported anything.
func (t *Table) Republish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.own) > 0 {
		t.signal()
	}
}

func (t *Table) signal() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}
