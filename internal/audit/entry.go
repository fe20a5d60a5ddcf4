// Package audit keeps the audit trail of configuration changes: who published
// which change, when, on which base version, and whether it was applied. The
// entries are built from the control records and their verdicts. A verdict is the
// result that package controlstate returns for a record.
package audit

import (
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Entry is one attempt to change the configuration.
type Entry struct {
	// Offset is the offset of the control record. If the change was applied, it is
	// also the version of the configuration that the change created.
	Offset backing.Offset `json:"offset"`
	// ID is the id of the control record.
	ID string `json:"id"`
	// Author is the operator.
	Author string `json:"author"`
	// Via is the instance or client that appended the record.
	Via string `json:"via,omitempty"`
	// UnixMS is the wall-clock time of the appender in milliseconds.
	UnixMS int64 `json:"unix_ms"`
	// Base is the version of the configuration that the author changed.
	Base backing.Offset `json:"base"`
	// Reason is the author's comment on the change.
	Reason string `json:"reason,omitempty"`
	// Changes are the differences from the version Base.
	Changes []record.EntryChange `json:"changes"`
	// Applied is false if the change had no effect.
	Applied bool `json:"applied"`
	// Void says why the change had no effect.
	Void string `json:"void,omitempty"`
}

// Time returns the wall-clock time of the appender in UTC.
func (e Entry) Time() time.Time { return time.UnixMilli(e.UnixMS).UTC() }

// FromRecord returns the entry for a control record and its verdict, or false if
// the record is not a configuration change.
func FromRecord(offset backing.Offset, e record.Envelope, verdict controlstate.ApplyResult) (Entry, bool) {
	if e.Kind != record.KindConfigChange {
		return Entry{}, false
	}
	var change record.ConfigChange
	if err := json.Unmarshal(e.Body, &change); err != nil {
		change.Reason = "undecodable body"
	}
	entry := Entry{
		Offset: offset, ID: e.ID, Author: change.Author, Via: e.Author, UnixMS: e.UnixMS,
		Base: change.Base, Reason: change.Reason, Changes: change.Changes, Applied: verdict.Applied,
	}
	if entry.Author == "" {
		entry.Author = e.Author
	}
	if !verdict.Applied {
		entry.Void = verdict.Reason
	}
	return entry, true
}
