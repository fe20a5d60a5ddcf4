package quarantine

import (
	"maps"
	"time"
)

// Crash is what one instance knows of the end of an upstream.
type Crash struct {
	// ID identifies the upstream and its start.
	ID string `json:"id"`
	// AtMS is when the instance noticed the crash, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Cold tells that the upstream had started shortly before.
	Cold bool `json:"cold,omitempty"`
	// Suspects are what the instance's requests at the upstream consist of, with the
	// position within the request.
	Suspects map[Suspect]int `json:"suspects,omitempty"`
	// Cleared are suspects of the crash, also of other instances, that have completed
	// since.
	Cleared map[Suspect]bool `json:"cleared,omitempty"`
}

// Weight of a crash as evidence, and the weight at which a suspect is quarantined: three crashes of upstreams
// in good order. One that has just started may have crashed under its load.
const (
	warmWeight       = 2
	coldWeight       = 1
	quarantineWeight = 3 * warmWeight
)

func (c *Crash) weight() int {
	if c.Cold {
		return coldWeight
	}
	return warmWeight
}

func (c *Crash) at() time.Time { return time.UnixMilli(c.AtMS) }

// merge adds what another instance knows of the same crash.
func (c *Crash) merge(o *Crash) {
	c.Cold = c.Cold || o.Cold
	c.AtMS = min(c.AtMS, o.AtMS)
	for s, position := range o.Suspects {
		c.addSuspect(s, position)
	}
	maps.Copy(c.Cleared, o.Cleared)
}

// addSuspect adds a suspect unless the crash has maxSuspects. The lowest position counts.
func (c *Crash) addSuspect(s Suspect, position int) {
	old, ok := c.Suspects[s]
	if !ok && len(c.Suspects) >= maxSuspects {
		return
	}
	if !ok || position < old {
		c.Suspects[s] = position
	}
}

// clone returns a copy with maps of its own.
func (c *Crash) clone() *Crash {
	out := *c
	out.Suspects, out.Cleared = make(map[Suspect]int, len(c.Suspects)), make(map[Suspect]bool, len(c.Cleared))
	maps.Copy(out.Suspects, c.Suspects)
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
