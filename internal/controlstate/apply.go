package controlstate

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Apply applies the record at offset and returns the resulting view. A record
// that breaks a rule is rejected: the returned view differs from v only in Offset
// and the recent record ids. Every instance rejects the same records.
func (v *View) Apply(offset backing.Offset, e record.Envelope) (*View, ApplyResult) {
	next := *v
	next.Offset = offset
	if v.recent.contains(e.ID) {
		return &next, rejected("duplicate of an earlier record")
	}
	next.recent = v.recent.with(e.ID)
	body := next
	result := body.applyBody(e)
	if !result.Applied {
		return &next, result
	}
	return &body, result
}

// ApplyRecord decodes and applies one record of the log. A record that cannot
// be decoded is rejected rather than returned as an error, so that an instance
// of an older version can read past records written by a newer one.
func (v *View) ApplyRecord(r backing.Record) (*View, record.Envelope, ApplyResult) {
	e, err := record.Decode(r.Data)
	if err != nil {
		next := *v
		next.Offset = r.Offset
		return &next, e, rejected("undecodable envelope")
	}
	next, result := v.Apply(r.Offset, e)
	return next, e, result
}

func (v *View) applyBody(e record.Envelope) ApplyResult {
	switch e.Kind {
	case record.KindConfigChange:
		return decodeAndApply(e.Body, v.applyConfigChange)
	case record.KindMemberJoin:
		return decodeAndApply(e.Body, v.applyJoin)
	case record.KindMemberGone:
		return decodeAndApply(e.Body, v.applyGone)
	case record.KindPlaceHomes:
		return decodeAndApply(e.Body, v.applyHomes)
	case record.KindPlaceReleased:
		return decodeAndApply(e.Body, v.applyReleased)
	case record.KindPoisonCrash:
		return decodeAndApply(e.Body, v.applyCrash)
	case record.KindPoisonCleared:
		return decodeAndApply(e.Body, v.applyCleared)
	default:
		return rejected("unknown kind " + string(e.Kind))
	}
}

func decodeAndApply[B any](data json.RawMessage, apply func(B) ApplyResult) ApplyResult {
	var body B
	if err := json.Unmarshal(data, &body); err != nil {
		return rejected("undecodable body: " + err.Error())
	}
	return apply(body)
}
