package entry

import (
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// sink forwards the response of an attempt to the caller. It sends nothing to the
// caller before the first data arrives, so an attempt that fails earlier can be
// retried.
type sink struct {
	c        *app.RequestContext
	checkKey func() error
	w        *sse.Writer
	chunks   int
	// engineRefused is set if the response has an HTTP error status.
	engineRefused bool
	stream        bool
	firstToken    *metrics.Histogram
	start         time.Time
}

var _ dispatch.Sink = (*sink)(nil)

// newSink returns a sink; stream is true if the caller asked for a stream.
func newSink(c *app.RequestContext, checkKey func() error, firstToken *metrics.Histogram, start time.Time, stream bool) *sink {
	return &sink{c: c, checkKey: checkKey, firstToken: firstToken, start: start, stream: stream}
}

// Check implements dispatch.Sink.
func (s *sink) Check() error { return s.checkKey() }

// Data implements dispatch.Sink.
func (s *sink) Data(data []byte) error {
	if s.w == nil {
		s.firstToken.UpdateDuration(s.start)
		s.w = sse.NewWriter(s.c)
	}
	s.chunks++
	return s.w.WriteEvent("", "", data)
}

// WholeResponse implements dispatch.Sink.
func (s *sink) WholeResponse(w dispatch.WholeResponse) error {
	s.c.Data(w.Status, w.ContentType, w.Body)
	s.engineRefused, s.stream = w.Status >= consts.StatusBadRequest, false
	return nil
}

// started reports whether a part of the response has been sent to the caller. A
// response that is not streamed is sent only after the attempt has ended.
func (s *sink) started() bool { return s.w != nil }

// failureCost returns the tokens to charge for a failed request: the chunks sent
// to the caller if there are any, else 0 if the request did not run, else the
// estimate.
func (s *sink) failureCost(estimate float64, err *errkind.Error) float64 {
	if s.started() {
		return float64(s.chunks)
	}
	if err.Ran == errkind.RanNo {
		return 0
	}
	return estimate
}

// successCost returns the tokens to charge for a completed attempt. A model
// request that the engine itself refused costs nothing.
func (s *sink) successCost(r dispatch.AttemptRequest, end dispatch.End, estimate float64) float64 {
	if s.engineRefused && r.Checkpoint != "" {
		return 0
	}
	return tokensUsed(end, estimate)
}

// finish ends a complete response. A stream without chunks gets the final marker
// too, because callers treat a stream without it as truncated.
func (s *sink) finish() {
	if s.w == nil && s.stream {
		s.w = sse.NewWriter(s.c)
	}
	if s.w != nil {
		_ = s.w.WriteEvent("", "", []byte("[DONE]"))
	}
}

// abort ends a stream with an error event instead of the final marker.
func (s *sink) abort(body errkind.Body) {
	data, _ := json.Marshal(body)
	_ = s.w.WriteEvent("", "error", data)
}
