package errkind

import (
	"math"
	"time"
)

// Body is the JSON form of an Error. Callers and other processes receive the same
// form.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error inside a Body.
type BodyError struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	Ran     Ran    `json:"ran"`
	// RequestID is the id of the failed request, for support.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterS is the suggested wait in seconds. It is absent if none is known or
	// retrying does not help.
	RetryAfterS int `json:"retry_after_s,omitempty"`
}

// NewBody returns the JSON form of e for the given request.
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

// AsError returns b as an Error. If the body does not say whether the request ran,
// the error has RanUnknown.
func (b Body) AsError() *Error {
	e := New(b.Error.Kind, b.Error.Message)
	e.Ran = RanUnknown
	if b.Error.Ran == RanNo {
		e.Ran = RanNo
	}
	e.RetryAfter = time.Duration(b.Error.RetryAfterS) * time.Second
	return e
}
