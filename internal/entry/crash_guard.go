package entry

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// CrashGuard limits how many upstreams a request can crash when its caller
// resends it (F10).
type CrashGuard interface {
	// Check returns an error if the request is quarantined.
	Check(d poison.Digest) error
	// Withhold blocks until the error of the failed attempt may be sent to the
	// caller.
	Withhold(ctx context.Context, f poison.FailedAttempt)
}

// digest identifies a request's content for the crash guard.
func digest(o work.AttemptRequest) string {
	return string(once.DigestOf(o.Method, o.Path, o.Body))
}

// withhold delays the error of an attempt whose upstream may have crashed until
// the other instances know of the crash. They can then check a resend of the
// request before they run it.
func (e *Entry) withhold(ctx context.Context, o work.AttemptRequest, home record.InstanceRef, bootID string, err *errkind.Error) {
	if o.Checkpoint == "" || bootID == "" || !mayHaveCrashed(err) {
		return
	}
	e.Guard.Withhold(ctx, poison.FailedAttempt{Digest: poison.Digest(o.Digest), Agent: home, BootID: bootID})
}

func mayHaveCrashed(err *errkind.Error) bool {
	switch err.Kind {
	case errkind.UpstreamCrashed, errkind.UpstreamFailed, errkind.StreamCut, errkind.UpstreamUnavailable:
		return err.Ran != errkind.RanNo
	default:
		return false
	}
}
