package atmostonce

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// RecordKind says what a record of a partition stream does.
type RecordKind string

// Kinds of record.
const (
	// RecordIntent starts an attempt of a call that has no state or whose phase is
	// not_run.
	RecordIntent RecordKind = "intent"
	// RecordResult marks the call as finished by the attempt that it names.
	RecordResult RecordKind = "result"
	// RecordSupersede replaces the fenced attempt OldAttempt by Attempt. If Attempt
	// is empty, it marks the call as not run.
	RecordSupersede RecordKind = "supersede"
	// RecordSnapshot is one chunk of a snapshot of the partition state.
	RecordSnapshot RecordKind = "snapshot"
)

// Record is one entry of a partition stream. Applying a record twice has the
// same effect as applying it once, so an append can be repeated safely.
type Record struct {
	// ID lets the writer find its own record in the stream if the response to the
	// append was lost.
	ID   string     `json:"id"`
	Kind RecordKind `json:"kind"`
	CallID
	Digest     Digest             `json:"digest,omitempty"`
	Attempt    string             `json:"attempt,omitempty"`
	OldAttempt string             `json:"old,omitempty"`
	Target     record.InstanceRef `json:"target,omitzero"`
	Author     record.InstanceRef `json:"author,omitzero"`
	Result     *Result            `json:"result,omitempty"`
	// Snapshot is set for RecordSnapshot only.
	Snapshot *SnapshotChunk `json:"snapshot,omitempty"`
}

// Encode returns the JSON form of r for the log.
func (r Record) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "encode %s record", r.Kind)
}
