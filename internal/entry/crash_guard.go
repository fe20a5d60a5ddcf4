package entry

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
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

// digest returns the digest by which the crash guard recognises a resent request.
func digest(r dispatch.AttemptRequest) string {
	return string(atmostonce.DigestOf(r.Method, r.Path, r.Body))
}

// withhold delays the error of an attempt whose upstream may have crashed until
// the other instances know of the crash. They can then check a resend of the
// request before they run it.
func (e *Entry) withhold(ctx context.Context, r dispatch.AttemptRequest, agent record.InstanceRef, bootID string, err *errkind.Error) {
	if r.Checkpoint == "" || bootID == "" || !mayHaveCrashed(err) {
		return
	}
	e.Guard.Withhold(ctx, poison.FailedAttempt{Digest: poison.Digest(r.Digest), Agent: agent, BootID: bootID})
}

func mayHaveCrashed(err *errkind.Error) bool {
	switch err.Kind {
	case errkind.UpstreamCrashed, errkind.UpstreamFailed, errkind.StreamCut, errkind.UpstreamUnavailable:
		return err.Ran != errkind.RanNo
	default:
		return false
	}
}
