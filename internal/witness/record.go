package witness

import (
	"encoding/json"
	"time"
)

// Record is what an entry instance reports to its witnesses.
type Record struct {
	// Instance is the name of the entry instance.
	Instance string `json:"instance"`
	// Start is a random number for this run of the process.
	Start uint64 `json:"start"`
	// Sequence numbers the records of a start, from 1.
	Sequence uint64 `json:"sequence"`
	// Sets are the sets of witnesses, by name. The record is confirmed once a majority of each has
	// taken it. There are several while the instance moves from one set to another.
	Sets [][]string `json:"sets"`
	// Covers are earlier starts of the instance whose spending is part of this record.
	Covers []uint64 `json:"covers,omitempty"`
	// Lease has, by witness, when the newest confirmed record was made.
	Lease map[string]Mark `json:"lease,omitempty"`
	// Quota is a Quota. Witnesses do not read it.
	Quota json.RawMessage `json:"quota,omitempty"`
	// Usage has the runs that this instance counted. Witnesses do not read it.
	Usage json.RawMessage `json:"usage,omitempty"`
}

// size returns the length of the parts whose length is not bounded otherwise.
func (r *Record) size() int { return len(r.Quota) + len(r.Usage) }

// Mark is a moment on the clock of a witness. A start of the witness's process has an epoch of its
// own.
type Mark struct {
	Epoch uint64 `json:"epoch"`
	// AtMS is the time since the epoch in ms. It may be negative.
	AtMS int64 `json:"at_ms"`
}

// At returns the time since the epoch.
func (m Mark) At() time.Duration { return time.Duration(m.AtMS) * time.Millisecond }
