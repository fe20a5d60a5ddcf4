package dispatch

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// maxEventBytes bounds one event. A response that is not streamed is a single
// event, encoded in base64, so the event reader's default limit of 64 KiB would
// reject responses over 48 KiB.
const maxEventBytes = 64 << 20

// responseReader passes the events of one attempt to a sink. A response consists
// of data events or one event of type whole, followed by an end or error event.
// Any other sequence is an error, because the caller could otherwise get a
// response that lacks a part or contains a part of another response (H10).
type responseReader struct {
	request  AttemptRequest
	sink     Sink
	hasData  bool
	hasWhole bool
	end      *End
	failure  error
}

func (r *responseReader) handle(e *sse.Event) error {
	if e.Type == eventPing {
		return nil
	}
	if r.end != nil {
		r.end = nil
		return malformed("received an event after the end of the response")
	}
	switch e.Type {
	case "":
		return r.handleData(e.Data)
	case eventWhole:
		return r.handleWhole(e.Data)
	case eventEnd:
		return r.handleEnd(e.Data)
	case eventError:
		return r.handleError(e.Data)
	default:
		return malformed("received an event of an unknown type")
	}
}

func malformed(reason string) error { return errkind.New(errkind.UpstreamFailed, reason) }

func (r *responseReader) handleData(data []byte) error {
	if r.hasWhole || !r.request.Stream {
		return malformed("received a stream chunk in a response that is not streamed")
	}
	r.hasData = true
	return r.sink.Data(data)
}

func (r *responseReader) handleWhole(data []byte) error {
	if r.hasWhole || r.hasData {
		return malformed("received a whole response after another part of the response")
	}
	var whole WholeResponse
	if err := json.Unmarshal(data, &whole); err != nil {
		return err
	}
	r.hasWhole = true
	return r.sink.WholeResponse(whole)
}

func (r *responseReader) handleEnd(data []byte) error {
	var end End
	if err := json.Unmarshal(data, &end); err != nil {
		return err
	}
	if end.Attempt != r.request.Attempt {
		return malformed("the end event belongs to another attempt")
	}
	if !r.hasWhole && !r.request.Stream {
		return malformed("the response ended without a body")
	}
	r.end = &end
	return nil
}

func (r *responseReader) handleError(data []byte) error {
	var body errkind.Body
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	if !errkind.IsListed(body.Error.Kind) {
		return malformed("received an error of an unknown kind")
	}
	r.failure = body.AsError()
	return r.failure
}
