package quarantine

import (
	"maps"
	"time"
)

// Crash is what one instance knows of the end of an upstream.
type Crash struct {
	// ID identifies the upstream and its start.
	ID string `json:"id"`
	// AtMS is when the instance noticed the crash, in Unix milliseconds of its own clock.
	AtMS int64 `json:"at_ms"`
	// Cold tells that the upstream had started shortly before.
	Cold bool `json:"cold,omitempty"`
	// Suspects are what the instance's requests at the upstream consist of, with the
	// position within the request.
	Suspects map[Suspect]int `json:"suspects,omitempty"`
	// NotBegun are the suspects of which some request had not begun to get its answer. The
	// others ran for a while without a crash, which speaks for them.
	NotBegun map[Suspect]bool `json:"not_begun,omitempty"`
	// Cleared are suspects of the crash, also of other instances, that have completed
	// since.
	Cleared map[Suspect]bool `json:"cleared,omitempty"`

	// at is when the crash was noticed, by this instance's clock. It does not change if the
	// time of day is set.
	at time.Time
}

// Weight of a crash as evidence, and the weight at which a suspect is quarantined: three
// crashes, for a part of upstreams in good order before its requests began to get answers.
const (
	warmWeight = 4
	// coldWeight applies to an upstream that has just started and may have crashed under
	// its load.
	coldWeight = 2
	// begunDivisor divides the weight for suspects whose answers had begun.
	begunDivisor     = 2
	quarantineWeight = 3 * warmWeight
)

// weight is the evidence of the crash against one of its suspects. What speaks for a part
// does not speak for a request: few requests run at three upstreams that crash.
func (c *Crash) weight(s Suspect) int {
	if !s.isPart() {
		return warmWeight
	}
	w := warmWeight
	if c.Cold {
		w = coldWeight
	}
	if !c.NotBegun[s] {
		w /= begunDivisor
	}
	return w
}

// merge adds what another instance knows of the same crash.
func (c *Crash) merge(o *Crash) {
	c.Cold = c.Cold || o.Cold
	if o.at.Before(c.at) {
		c.at = o.at
	}
	for s, position := range o.Suspects {
		c.addSuspect(s, position)
	}
	maps.Copy(c.Cleared, o.Cleared)
	maps.Copy(c.NotBegun, o.NotBegun)
}

// addSuspect adds a suspect unless the crash has maxSuspects, of which half are left to whole
// requests. The lowest position counts.
func (c *Crash) addSuspect(s Suspect, position int) {
	old, ok := c.Suspects[s]
	limit := maxSuspects
	if s.isPart() {
		limit /= 2
	}
	if !ok && len(c.Suspects) >= limit {
		return
	}
	if !ok || position < old {
		c.Suspects[s] = position
	}
}

// clone returns a copy with maps of its own.
func (c *Crash) clone() *Crash {
	out := *c
	out.Suspects, out.Cleared, out.NotBegun = make(map[Suspect]int, len(c.Suspects)), make(map[Suspect]bool, len(c.Cleared)), make(map[Suspect]bool, len(c.NotBegun))
	maps.Copy(out.Suspects, c.Suspects)
	maps.Copy(out.NotBegun, c.NotBegun)
	maps.Copy(out.Cleared, c.Cleared)
	return &out
}

// Limits of the evidence.
const (
	// maxSuspects bounds the suspects of one crash. An upstream of 64 requests with four
	// parts each has fewer.
	maxSuspects = 512
	// maxCrashes bounds the crashes that one instance reports, the newest ones.
	maxCrashes = 64
	// Retention is how long a crash counts. Refusing a harmless part for longer would cost
	// more than the upstreams that end while a harmful one is recognised again.
	Retention = 10 * time.Minute
)

// durations are how long a suspect is refused after its last crash, by the number of its
// crashes beyond those that quarantine it. Three crashes may be a coincidence, and a harmless
// part can be cleared only by a request with it.
var durations = []time.Duration{10 * time.Second, time.Minute, Retention}
