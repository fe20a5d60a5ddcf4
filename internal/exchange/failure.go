package exchange

import "fmt"

// Stage tells how far a request had come when it failed.
type Stage int

// Stages of a failure.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Stage = iota
	// NoAnswer means that the request may have run and no answer came.
	NoAnswer
	// BadResponse means that bytes came which are no answer to the request.
	BadResponse
)

// Failure is an exchange without an answer.
type Failure struct {
	Stage Stage
	Err   error
}

// Error implements error.
func (f *Failure) Error() string {
	switch f.Stage {
	case NotSent:
		return fmt.Sprintf("request not sent: %v", f.Err)
	case BadResponse:
		return fmt.Sprintf("no valid answer: %v", f.Err)
	default:
		return fmt.Sprintf("no answer: %v", f.Err)
	}
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
