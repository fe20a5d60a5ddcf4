package errkind

import (
	"errors"
	"time"
)

// Error is a refusal or failure with its kind. It crosses process boundaries
// as a Body.
type Error struct {
	Kind    Kind
	Message string
	// Ran is RanNo only where the sender knows that no upstream ran the request.
	Ran Ran
	// RetryAfter is the suggested wait; zero means no suggestion.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k that claims what the table allows for k.
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Message: message, Ran: ResponseFor(k).Ran}
}

// Wrap is New with a cause that stays reachable through errors.Is and errors.As.
func Wrap(k Kind, message string, cause error) *Error {
	e := New(k, message)
	e.cause = cause
	return e
}

// WithRetryAfter returns e with a suggested wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRanUnknown returns e with its claim widened to RanUnknown.
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

// From returns err as an Error; an error without a kind becomes Internal,
// which claims nothing about whether the request ran.
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
