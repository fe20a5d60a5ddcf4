package strictconn

import "github.com/pkg/errors"

// Part is the part of a response that breaks the protocol.
type Part string

// Parts of a response.
const (
	StatusLine Part = "status line"
	Header     Part = "header"
	Framing    Part = "framing"
	Chunk      Part = "chunk"
	Trailer    Part = "trailer"
	// End stands for a response whose connection ended before it was complete.
	End Part = "end"
)

// InvalidError is the error of a response that breaks the protocol.
type InvalidError struct {
	Part   Part
	Reason error
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "invalid " + string(e.Part) + " of a response: " + e.Reason.Error()
}

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error { return e.Reason }

func invalid(part Part, format string, args ...any) error {
	return &InvalidError{Part: part, Reason: errors.Errorf(format, args...)}
}

// IsInvalid reports whether err says that a response broke the protocol or was not complete.
func IsInvalid(err error) bool {
	var e *InvalidError
	return errors.As(err, &e)
}
