package errkind

import (
	"math"
	"time"
)

// Body is the JSON form of an Error, the same towards callers and between
// processes.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of Body.
type BodyError struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	Ran     Ran    `json:"ran"`
	// RequestID is the id of the refused request, for support.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterS is the suggested wait in seconds; absent where retrying does not help.
	RetryAfterS int `json:"retry_after_s,omitempty"`
}

// NewBody returns the JSON form of e for the request with the given id.
func NewBody(e *Error, requestID string) Body {
	return Body{Error: BodyError{
		Kind:        e.Kind,
		Message:     e.Message,
		Advice:      ResponseFor(e.Kind).Advice,
		Ran:         e.Ran,
		RequestID:   requestID,
		RetryAfterS: int(math.Ceil(e.RetryAfter.Seconds())),
	}}
}

// AsError returns the Error that b stands for. A body without a claim about
// execution is read as RanUnknown.
func (b Body) AsError() *Error {
	e := New(b.Error.Kind, b.Error.Message)
	e.Ran = RanUnknown
	if b.Error.Ran == RanNo {
		e.Ran = RanNo
	}
	e.RetryAfter = time.Duration(b.Error.RetryAfterS) * time.Second
	return e
}
