package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
	"github.com/jacinthbend/jacinthbend/internal/upstreamclient"
)

// suspects returns what the request may have in common with others that crash upstreams.
func (r *request) suspects() []quarantine.Suspect {
	if r.suspectList == nil {
		r.suspectList = r.identity().Suspects()
	}
	return r.suspectList
}

// identity returns what tells the request apart from others, whatever its id.
func (r *request) identity() quarantine.Identity {
	id := quarantine.Identity{Method: r.method, Host: r.host, URI: r.uri, Body: r.body, Prompt: r.attrs.Prompt}
	if r.team != nil {
		id.Team = r.team.Name
	}
	return id
}

// refuseIfQuarantined ends a request that contains what crashes upstreams, and reports
// whether it did.
func (r *request) refuseIfQuarantined() bool {
	if !r.g.Quarantine.Active() {
		return false
	}
	suspect, until, ok := r.g.Quarantine.Check(r.serial, r.suspects())
	if !ok {
		return false
	}
	r.g.Stats.quarantined.Inc()
	r.g.Logger.Info("request contains what crashed several upstreams", r.requestIDField(), zap.String("suspect", string(suspect)), zap.Time("until", until))
	reason := fmt.Sprintf("%s crashed several upstreams", suspect)
	if r.writer.started || r.fallback != nil || r.possibleRuns > 0 {
		r.fail(reason, 0)
	} else {
		r.refuse(errkind.New(errkind.ContentQuarantined, reason).WithRetryAfter(time.Until(until)))
	}
	return true
}

// recordCrash records the request as a suspect of a crash; c may be nil.
func (r *request) recordCrash(c *crash) {
	if c != nil {
		r.g.Quarantine.RecordCrash(c.id, c.cold, r.events.Events > r.eventsBefore, r.suspects())
	}
}

// afterCrash decides what follows an attempt that failed; c is nil if its upstream has not
// crashed. A request that may be the cause of crashes is not sent to a further upstream.
func (r *request) afterCrash(c *crash) attemptResult {
	if c == nil {
		return retry
	}
	r.recordCrash(c)
	if r.g.Quarantine.MayRetry(r.suspects()) {
		return retry
	}
	r.fail("upstreams crashed that ran requests with the same content", 0)
	return finished
}

// recordComplete clears the request's content of earlier crashes. A response that ends
// with its connection, of an upstream that is leaving, does not count: it would end in the
// same way if the upstream crashed.
func (r *request) recordComplete(choice *upstream.Choice, resp *upstreamclient.Response) {
	if !resp.Framed && r.g.Pool.Leaving(choice.Upstream.ID) {
		return
	}
	if len(r.attrs.Prompt) > 0 || r.g.Quarantine.Active() {
		r.g.Quarantine.RecordComplete(r.suspects())
	}
}
