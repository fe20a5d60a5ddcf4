// Package record defines the records of the control stream.
package record

import (
	"encoding/json"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Kind is the type of an envelope's body.
type Kind string

// Kinds of control records.
const (
	KindConfigChange  Kind = "config.change"
	KindMemberJoin    Kind = "member.join"
	KindMemberGone    Kind = "member.gone"
	KindPlaceHomes    Kind = "place.homes"
	KindPlaceReleased Kind = "place.released"
	KindPoisonCrash   Kind = "poison.crash"
	KindPoisonCleared Kind = "poison.cleared"
)

// ControlStream is the log stream with every decision that all instances share:
// configuration, membership, homes and crash reports.
const ControlStream = "control"

// Envelope is one control record. The log assigns its offset.
type Envelope struct {
	// ID is the same when an append is repeated. Package controlstate applies each
	// id only once.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Author is an instance id or an operator name, for the audit trail.
	Author string `json:"author"`
	// UnixMS is the author's wall-clock time in milliseconds. It is for the audit
	// trail only; no decision depends on it.
	UnixMS int64           `json:"unix_ms"`
	Body   json.RawMessage `json:"body"`
}

// Body is the typed content of an envelope.
type Body interface {
	Kind() Kind
}

// New returns an envelope with a new random id and the encoded body.
func New(author string, unixMS int64, body Body) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, errors.Wrapf(err, "encode %s", body.Kind())
	}
	return Envelope{
		ID:     uuid.NewString(),
		Kind:   body.Kind(),
		Author: author,
		UnixMS: unixMS,
		Body:   data,
	}, nil
}

// Encode returns the JSON form of e for the log.
func (e Envelope) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(e)
	return data, errors.Wrapf(err, "encode envelope %s", e.ID)
}

// Decode parses an envelope read from the log.
func Decode(data json.RawMessage) (Envelope, error) {
	var e Envelope
	err := json.Unmarshal(data, &e)
	return e, errors.Wrap(err, "decode envelope")
}
