package entry

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
)

// beginRequest counts the request as running in the lifecycle. It returns
// view_stale while the process is starting, and draining while it shuts down.
func (e *Entry) beginRequest() error {
	switch {
	case e.Lifecycle.Begin():
		return nil
	case e.Lifecycle.State() == lifecycle.Starting:
		return errkind.New(errkind.ViewStale, "this instance has not joined the fleet yet").WithRetryAfter(time.Second)
	default:
		return errkind.New(errkind.Draining, "this instance is shutting down")
	}
}

// authenticatedView checks that this instance may serve, authenticates the
// request and returns the view that its key was checked against.
func (e *Entry) authenticatedView(c *app.RequestContext, info *requestInfo) (*controlstate.View, error) {
	if err := e.checkServing(); err != nil {
		return nil, err
	}
	v := e.Fleet.View()
	return v, authenticate(v, c, info)
}

// checkServing returns an error while this instance must not take new work.
// Callers run it before they read the view, so that the view is at least as
// recent as the one that this check used.
func (e *Entry) checkServing() error {
	kind := e.Fleet.Refusal()
	switch kind {
	case "":
		return nil
	case errkind.DataCentreOut:
		return errkind.New(kind, "data centre "+e.DataCentre+" is out of service")
	case errkind.Draining:
		return errkind.New(kind, "this instance is shutting down")
	default:
		return errkind.New(kind, "this instance has lost contact with the fleet")
	}
}
