package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// refuse sends the error response that errkind defines for the kind of e. If an
// upstream may have run the request, the response never says that it did not run.
func (r *request) refuse(e *errkind.Error) {
	if r.possibleRuns > 0 && e.Ran == errkind.RanNo {
		e = e.WithRanUnknown()
		e.Kind = errkind.UpstreamFailed
	}
	answer := errkind.ResponseFor(e.Kind)
	r.status, r.kind, r.reason = answer.Status, e.Kind, e.Message
	body, err := json.Marshal(errkind.NewBody(e, r.attrs.RequestID))
	if err != nil {
		// The status and headers tell the caller what matters.
		r.g.Logger.Error("cannot encode an error response", r.requestIDField(), telemetry.Err(err))
		body = nil
	}
	if e.RetryAfter > 0 && e.Ran == errkind.RanNo {
		r.c.Response.Header.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	if r.attrs.RequestID != "" {
		r.c.Response.Header.Set(r.g.Dialect.RequestIDHeader(), r.attrs.RequestID)
	}
	r.c.Data(answer.Status, "application/json", body)
}

// formatRetryAfter formats d as seconds with two decimals, rounded up: who comes back too early
// is refused again.
func formatRetryAfter(d time.Duration) string {
	const digits = 2
	const unit = 10 * time.Millisecond
	rounded := max(unit, (d+unit-1)/unit*unit)
	return strconv.FormatFloat(rounded.Seconds(), 'f', digits, 64)
}
