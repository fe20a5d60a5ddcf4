package fold

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Apply returns the view after the record at offset. A record that breaks a
// rule is void: it moves the offset and changes nothing else.
func (v *View) Apply(offset platform.Offset, e record.Envelope) (*View, ApplyResult) {
	next := *v
	next.Offset = offset
	if v.recent.contains(e.ID) {
		return &next, void("duplicate of an earlier record")
	}
	next.recent = v.recent.with(e.ID)
	body := next
	verdict := body.applyBody(e)
	if !verdict.Applied {
		return &next, verdict
	}
	return &body, verdict
}

// ApplyRecord decodes and applies one record of the log. An undecodable
// record is void, so that a later version's record cannot stop an older reader.
func (v *View) ApplyRecord(r platform.Record) (*View, record.Envelope, ApplyResult) {
	e, err := record.Decode(r.Data)
	if err != nil {
		next := *v
		next.Offset = r.Offset
		return &next, e, void("undecodable envelope")
	}
	next, verdict := v.Apply(r.Offset, e)
	return next, e, verdict
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
		return void("unknown kind " + string(e.Kind))
	}
}

func decodeAndApply[B any](data json.RawMessage, apply func(B) ApplyResult) ApplyResult {
	var body B
	if err := json.Unmarshal(data, &body); err != nil {
		return void("undecodable body: " + err.Error())
	}
	return apply(body)
}
