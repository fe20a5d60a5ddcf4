package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/eventstream"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// call is one caller's request on its way.
type call struct {
	g     *Gateway
	c     *app.RequestContext
	start time.Time
	// caller ends when the caller goes away.
	caller context.Context
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time

	header http.Header
	attrs  fleet.RequestAttributes
	method string
	uri    string
	host   string
	body   []byte
	route  *fleet.Route
	team   *fleet.Team
	query  upstream.Query
	// tokens were taken from the team's quota, with loans of other instances.
	tokens float64
	loans  []tokenquota.Loan

	// arrivals counts the upstreams that received the request, ran those that
	// may have run it.
	arrivals, ran int
	// upstreams are the ids of those, for the log.
	upstreams []string
	// held is a failure of an upstream that is passed on if no other serves.
	held *heldAnswer

	sink   sink
	events eventstream.Splitter
	// resumeAfter and version let a stream go on at another upstream.
	resumeAfter, version string

	// firstSent and firstByte are when the request was sent and when the first
	// part of the answer came; loadWait is the time spent on loads.
	firstSent, firstByte time.Time
	loadWait             time.Duration
	// expected is the estimate of the time to the first token at the last choice.
	expected time.Duration

	status int
	kind   errkind.Kind
	reason string
}

// heldAnswer is a whole answer that was not passed on yet.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// left is how long the request may still take.
func (x *call) left() time.Duration { return time.Until(x.deadline) }

// urgency is the rank at the engine. A team's priority goes before the route's.
func (x *call) urgency() int {
	const lowest = 9
	p := x.route.Priority
	if x.team != nil && x.team.HasPriority {
		p = x.team.Priority
	}
	return min(max(p, 0), lowest)
}
