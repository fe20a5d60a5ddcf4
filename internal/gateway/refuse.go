package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// refuse answers with the row of the table for e. A request that may have run
// is never answered with a status that promises that it has not.
func (x *call) refuse(e *errkind.Error) {
	if x.ran > 0 && e.Ran == errkind.RanNo {
		e = e.WithRanUnknown()
		e.Kind = errkind.UpstreamFailed
	}
	answer := errkind.ResponseFor(e.Kind)
	x.status, x.kind, x.reason = answer.Status, e.Kind, e.Message
	body, err := json.Marshal(errkind.NewBody(e, x.attrs.RequestID))
	if err != nil {
		x.g.Logger.Error("a refusal cannot be encoded", x.idField())
	}
	if e.RetryAfter > 0 && e.Ran == errkind.RanNo {
		x.c.Response.Header.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	if x.attrs.RequestID != "" {
		x.c.Response.Header.Set(x.g.Dialect.RequestIDHeader(), x.attrs.RequestID)
	}
	x.c.Data(answer.Status, "application/json", body)
}

// retryAfter writes seconds with their fraction.
func retryAfter(d time.Duration) string {
	const digits = 2
	return strconv.FormatFloat(max(0.01, d.Seconds()), 'f', digits, 64)
}
