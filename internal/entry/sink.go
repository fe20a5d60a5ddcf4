package entry

import (
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// sink passes an attempt's answer to the caller. The caller's response begins
// with the first data, so that an attempt which fails before can be repeated.
type sink struct {
	c      *app.RequestContext
	check  func() error
	w      *sse.Writer
	chunks int
	// refused tells that the engine answered with an error of its own.
	refused    bool
	stream     bool
	firstToken *metrics.Histogram
	start      time.Time
}

var _ work.Sink = (*sink)(nil)

// newSink returns a sink; stream tells that the caller asked for events.
func newSink(c *app.RequestContext, check func() error, firstToken *metrics.Histogram, start time.Time, stream bool) *sink {
	return &sink{c: c, check: check, firstToken: firstToken, start: start, stream: stream}
}

// Check implements work.Sink.
func (s *sink) Check() error { return s.check() }

// Data implements work.Sink.
func (s *sink) Data(data []byte) error {
	if s.w == nil {
		s.firstToken.UpdateDuration(s.start)
		s.w = sse.NewWriter(s.c)
	}
	s.chunks++
	return s.w.WriteEvent("", "", data)
}

// WholeResponse implements work.Sink.
func (s *sink) WholeResponse(w work.WholeResponse) error {
	s.c.Data(w.Status, w.ContentType, w.Body)
	s.refused, s.stream = w.Status >= consts.StatusBadRequest, false
	return nil
}

// started reports whether the caller has received a part of the answer. A
// whole answer is sent only after the attempt has ended.
func (s *sink) started() bool { return s.w != nil }

// spent returns the tokens to charge for a failed request: nothing when it
// did not run, the estimate when that is not known and nothing was received.
func (s *sink) spent(estimate float64, err *errkind.Error) float64 {
	if s.started() {
		return float64(s.chunks)
	}
	if err.Ran == errkind.RanNo {
		return 0
	}
	return estimate
}

// charge returns the tokens of a completed attempt; an engine's own refusal of
// a request costs nothing.
func (s *sink) charge(o work.AttemptRequest, end work.End, estimate float64) float64 {
	if s.refused && o.Checkpoint != "" {
		return 0
	}
	return actual(end, estimate)
}

// finish ends a complete answer. A stream without chunks gets its final marker
// too, because a caller takes a stream without one for cut.
func (s *sink) finish() {
	if s.w == nil && s.stream {
		s.w = sse.NewWriter(s.c)
	}
	if s.w != nil {
		_ = s.w.WriteEvent("", "", []byte("[DONE]"))
	}
}

// abort ends a stream with an error event and without the final marker.
func (s *sink) abort(body errkind.Body) {
	data, _ := json.Marshal(body)
	_ = s.w.WriteEvent("", "error", data)
}
