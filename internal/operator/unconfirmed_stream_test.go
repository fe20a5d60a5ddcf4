package operator

import (
	"context"
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// unconfirmedStream reports a lost answer as a failed append without checking
// whether the record is in the stream.
type unconfirmedStream struct{ *StreamClient }

func (s unconfirmedStream) Append(ctx context.Context, body record.Body) (controlstate.ApplyResult, backing.Offset, error) {
	e, _ := record.New(s.settings.Name, 0, body)
	data, _ := e.Encode()
	offset, err := s.log.Append(ctx, record.ControlStream, []json.RawMessage{data})
	s.onStep(StepAfterAppend)
	if err != nil {
		return controlstate.ApplyResult{}, 0, errkind.Wrap(errkind.LogUnavailable, "append", err)
	}
	_ = s.Refresh(ctx)
	return controlstate.ApplyResult{Applied: s.View().ConfigVersion == offset, Reason: "stale"}, offset, nil
}
