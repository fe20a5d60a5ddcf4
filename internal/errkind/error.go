package errkind

import (
	"errors"
	"time"
)

// Error is a refused or failed request, with its kind. Body is its JSON form.
type Error struct {
	Kind    Kind
	Message string
	// Ran is RanNo only if it is certain that no upstream ran the request.
	Ran Ran
	// RetryAfter is the suggested wait; zero means no suggestion.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k. Its Ran field is that of ResponseFor(k).
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Message: message, Ran: ResponseFor(k).Ran}
}

// Wrap is like New, with a cause that errors.Is and errors.As can find.
func Wrap(k Kind, message string, cause error) *Error {
	e := New(k, message)
	e.cause = cause
	return e
}

// WithRetryAfter returns a copy of e with a suggested wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRanUnknown returns a copy of e with RanUnknown.
func (e *Error) WithRanUnknown() *Error {
	c := *e
	c.Ran = RanUnknown
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return string(e.Kind) + ": " + e.Message + ": " + e.cause.Error()
	}
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns err as an Error. An error without a kind becomes Internal, with
// RanUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, "unexpected error", err)
}

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
