package entry

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
)

// begin counts a request in; the refusal tells a start from a stop.
func (e *Entry) begin() error {
	switch {
	case e.Lifecycle.Begin():
		return nil
	case e.Lifecycle.State() == lifecycle.Starting:
		return errkind.New(errkind.ViewStale, "this instance has not joined the fleet yet").WithRetryAfter(time.Second)
	default:
		return errkind.New(errkind.Draining, "this instance is shutting down")
	}
}

// callerView returns the view for a request with a key, and sets its team.
func (e *Entry) callerView(c *app.RequestContext, k *call) (*fold.View, error) {
	if err := e.mayServe(); err != nil {
		return nil, err
	}
	v := e.Fleet.View()
	return v, authenticate(v, c, k)
}

// mayServe refuses new work while this instance may not take any. It comes
// before the view is taken: a view taken earlier could be older than the one
// that the answer describes.
func (e *Entry) mayServe() error {
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
