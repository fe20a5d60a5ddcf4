package entry

import (
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// Choice is an upstream chosen for one attempt.
type Choice struct {
	Member fold.Member
	// Done reports how the attempt ended; err is nil when it completed.
	Done func(end work.End, err error)
}

// Router chooses upstreams.
type Router interface {
	// Choose returns an upstream for the order other than the tried instances.
	// Errors have kind upstream_unavailable or upstream_busy.
	Choose(v *fold.View, o work.Order, tried []string) (Choice, error)
	// AllowRetry takes, after the given number of attempts, a retry from the budget of retries, so that retries cannot
	// multiply an overload; false means that it is used up.
	AllowRetry(attempts int) bool
	// CountRequest counts a request for the budget of retries.
	CountRequest()
}
