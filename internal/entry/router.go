package entry

import (
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
)

// Choice is an upstream chosen for one attempt.
type Choice struct {
	Member controlstate.Member
	// Done must be called when the attempt has ended; err is nil if it completed.
	Done func(end dispatch.End, err error)
}

// Router chooses upstreams.
type Router interface {
	// Choose returns an upstream for the request, other than the tried instances.
	// Errors have kind upstream_unavailable or upstream_busy.
	Choose(v *controlstate.View, r dispatch.AttemptRequest, tried []string) (Choice, error)
	// AllowRetry reports whether the request may be retried after the given number
	// of attempts, and takes the retry from the retry budget. The budget keeps
	// retries from amplifying an overload.
	AllowRetry(attempts int) bool
	// CountRequest counts a new request, which adds to the retry budget.
	CountRequest()
}
