package gateway

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// recoverPanic ends a request whose handler panics, so that it does not end the
// process and with it all other requests. It must be deferred.
func (r *request) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	background.CountPanic("request")
	r.g.Logger.Error("request handler panicked", r.requestIDField(), zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
	if r.writer.started {
		r.abortStream("the request failed in this instance")
	} else if err := r.refuseAfterPanic(); err != nil {
		r.g.Logger.Error("cannot answer after a panic", r.requestIDField(), telemetry.Err(err))
	}
	r.logResult()
}

// refuseAfterPanic sends an error response that leaves open whether the request ran.
func (r *request) refuseAfterPanic() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	r.refuse(errkind.New(errkind.Internal, "the request failed in this instance").WithRanUnknown())
	return nil
}
