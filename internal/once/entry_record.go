package once

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// RecordKind names what an entry of a partition stream does.
type RecordKind string

// Kinds of entry.
const (
	// RecordIntent opens an identity that has no state or is not run.
	RecordIntent RecordKind = "intent"
	// RecordResult finishes the attempt it names.
	RecordResult RecordKind = "result"
	// RecordSupersede replaces the fenced attempt Old by Attempt, or closes the
	// identity as not run when Attempt is empty.
	RecordSupersede RecordKind = "supersede"
	// RecordSnapshot is one chunk of a copy of the fold.
	RecordSnapshot RecordKind = "snapshot"
)

// Record is one entry of a partition stream. Every kind is idempotent per
// attempt, so a repeated append changes nothing.
type Record struct {
	// ID lets the writer find its own entry when the append's answer was lost.
	ID   string     `json:"id"`
	Kind RecordKind `json:"kind"`
	Identity
	Digest  Digest         `json:"digest,omitempty"`
	Attempt string         `json:"attempt,omitempty"`
	Old     string         `json:"old,omitempty"`
	Target  record.InstanceRef `json:"target,omitzero"`
	Author  record.InstanceRef `json:"author,omitzero"`
	Result  *Result        `json:"result,omitempty"`
	// Snapshot is set for RecordSnapshot only.
	Snapshot *SnapshotChunk `json:"snapshot,omitempty"`
}

// Encode returns the JSON form of r for the log.
func (r Record) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "encode %s record", r.Kind)
}
