package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/eventstream"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// request is the state of one caller's request while the gateway handles it.
type request struct {
	g *Gateway
	c *app.RequestContext
	// serial tells the requests of this instance apart; callers choose their ids.
	serial uint64
	start  time.Time
	// callerCtx is cancelled when the caller disconnects.
	callerCtx context.Context
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
	// suspectList is computed by suspects.
	suspectList []quarantine.Suspect
	// chargedTokens is the number of tokens taken from the team's quota. loans are
	// the part of them that other instances lent.
	chargedTokens float64
	loans         []tokenquota.Loan

	// deliveries counts the attempts in which an upstream may have received the
	// request. possibleRuns counts those in which it may also have run it.
	deliveries, possibleRuns int
	// upstreams are the ids of the upstreams of all attempts, and versions the versions of
	// their software, for the log.
	upstreams, versions []string
	// fallback is the last error response (5xx) of an upstream. The caller gets it
	// if no other upstream serves the request.
	fallback *bufferedResponse

	// buffers is the memory for the parts of a response that the caller cannot get
	// yet.
	buffers bufferReservation

	writer streamWriter
	events eventstream.Splitter
	// eventsBefore is how many events earlier attempts got.
	eventsBefore int
	// crashFinding is the result of the last check for a crash, for the log.
	crashFinding string
	// resumeAfter and weightsVersion are sent to the upstream that resumes a
	// stream: the id of the last event that the caller got and the weights that
	// produced it.
	resumeAfter, weightsVersion string

	// firstSentAt is when the first attempt began, firstByteAt when the first events of a
	// stream came and lastEventAt when the last ones did; loadWait and rateWait are the times
	// spent waiting for loads and for rate limits of engines.
	firstSentAt, firstByteAt, lastEventAt time.Time
	loadWait, rateWait                    time.Duration
	// quotaWait is the time spent waiting for tokens of the team's quota.
	quotaWait time.Duration
	// bufferWait is the time spent waiting for memory for the response.
	bufferWait time.Duration
	// estimatedTTFT is the estimated time to the first token at the upstream of
	// the last attempt.
	estimatedTTFT time.Duration
	progress      attemptProgress

	status int
	kind   errkind.Kind
	reason string
}

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   *responseBody
}

// remaining returns the time until the deadline.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// urgency returns the scheduling priority of the request at the engine; 0 is the
// most urgent. A team's priority overrides the route's.
func (r *request) urgency() int {
	const leastUrgent = 9
	p := r.route.Priority
	if r.team != nil && r.team.HasPriority {
		p = r.team.Priority
	}
	return min(max(p, 0), leastUrgent)
}
