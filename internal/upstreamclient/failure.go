package upstreamclient

import "fmt"

// Stage is how far an exchange had come when it failed.
type Stage int

// Stages of a failure.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Stage = iota
	// NoResponse means that the upstream may have run the request, but no response
	// arrived.
	NoResponse
	// BadResponse means that the upstream sent bytes that are not a response to the
	// request.
	BadResponse
)

// Failure is the error of an exchange without a valid response.
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
		return fmt.Sprintf("invalid response: %v", f.Err)
	default:
		return fmt.Sprintf("no response: %v", f.Err)
	}
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
