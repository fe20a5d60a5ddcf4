// Package audit keeps the trail of configuration changes: who published what
// and when, on which base version, and with which result. It is built from
// control records and the verdicts of the fold.
package audit

import (
	"encoding/json"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Entry is one attempt to change the configuration.
type Entry struct {
	// Offset is that of the control record; an applied entry's offset is the
	// version that it made.
	Offset platform.Offset `json:"offset"`
	// ID is the id of the control record.
	ID string `json:"id"`
	// Author is the operator.
	Author string `json:"author"`
	// Via is the instance or client that appended the record.
	Via string `json:"via,omitempty"`
	// UnixMS is the appender's wall clock, in milliseconds.
	UnixMS int64 `json:"unix_ms"`
	// Base is the version on which the author based the change.
	Base platform.Offset `json:"base"`
	// Reason is the author's text.
	Reason string `json:"reason,omitempty"`
	// Changes are the difference.
	Changes []record.EntryChange `json:"changes"`
	// Applied is false for a void change.
	Applied bool `json:"applied"`
	// Void tells why the change is void.
	Void string `json:"void,omitempty"`
}

// Time returns the appender's wall clock in UTC.
func (e Entry) Time() time.Time { return time.UnixMilli(e.UnixMS).UTC() }

// FromRecord returns the entry of a control record and its verdict. It
// returns false for records that do not change the configuration.
func FromRecord(offset platform.Offset, e record.Envelope, verdict fold.ApplyResult) (Entry, bool) {
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
