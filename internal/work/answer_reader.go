package work

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// maxEventBytes bounds one event. An unstreamed answer is one event, in base64;
// the reader's own limit of 64 KiB refused answers over 48 KiB.
const maxEventBytes = 64 << 20

// answerReader takes the events of one attempt. An answer is chunks of data or
// one whole event, and then the last event; anything else fails it, because a
// part that is left out or mixed in would pass for the caller's answer (H10).
type answerReader struct {
	order   AttemptRequest
	sink    Sink
	data    bool
	whole   bool
	end     *End
	failure error
}

func (r *answerReader) take(e *sse.Event) error {
	if e.Type == eventPing {
		return nil
	}
	if r.end != nil {
		r.end = nil
		return mixed("an event came after the last one")
	}
	switch e.Type {
	case "":
		return r.takeData(e.Data)
	case eventWhole:
		return r.takeWhole(e.Data)
	case eventEnd:
		return r.takeEnd(e.Data)
	case eventError:
		return r.takeError(e.Data)
	default:
		return mixed("the answer has an event of an unknown type")
	}
}

func mixed(reason string) error { return errkind.New(errkind.UpstreamFailed, reason) }

func (r *answerReader) takeData(data []byte) error {
	if r.whole || !r.order.Stream {
		return mixed("a chunk came in an answer that is not a stream")
	}
	r.data = true
	return r.sink.Data(data)
}

func (r *answerReader) takeWhole(data []byte) error {
	if r.whole || r.data {
		return mixed("a whole answer came after another part of the answer")
	}
	var w WholeResponse
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	r.whole = true
	return r.sink.WholeResponse(w)
}

func (r *answerReader) takeEnd(data []byte) error {
	var end End
	if err := json.Unmarshal(data, &end); err != nil {
		return err
	}
	if end.Attempt != r.order.Attempt {
		return mixed("the last event belongs to another attempt")
	}
	if !r.whole && !r.order.Stream {
		return mixed("the answer ended without its body")
	}
	r.end = &end
	return nil
}

func (r *answerReader) takeError(data []byte) error {
	var body errkind.Body
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	if !errkind.IsListed(body.Error.Kind) {
		return mixed("the attempt failed with an unknown kind of error")
	}
	r.failure = body.AsError()
	return r.failure
}
