package engineagent

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
)

// ColdLimit is the platform's limit on requests to a cold engine: in any second, all
// instances together may send Over times the cold rate of the service, plus Slack.
type ColdLimit struct{ Over, Slack float64 }

const (
	// permitShare is the fraction of the limit that permits use. The rest is for entry
	// instances that do not reach the agent.
	permitShare = 0.5
	// permitWindow is the sliding window in which permits are counted: the second of the
	// limit, and the time in which a permit may be used.
	permitWindow = time.Second + agentapi.PermitTTL
)

// ServePermit grants a request to the engine while it is cold or names a rate limit. All
// entry instances ask, in small fleets for the rate limit only, so that the limits hold for
// them together.
func (a *Agent) ServePermit(_ context.Context, req agentapi.PermitRequest) (agentapi.PermitResponse, error) {
	coldLimit := a.coldLimit()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Cold {
		if wait := a.coldWait(now, coldLimit); wait > 0 {
			return refusePermit(wait), nil
		}
	}
	limit := req.RateLimit
	if a.reachable {
		limit = a.report.RateLimit
	}
	after := time.Duration(0)
	if limit > 0 {
		delay, ok := a.ratePermits.take(now, limit, time.Duration(req.MaxWaitMS)*time.Millisecond)
		if !ok {
			return refusePermit(delay), nil
		}
		after = delay
	} else {
		a.ratePermits.reset()
	}
	if req.Cold {
		a.permits.Add(now.Add(after))
	}
	return agentapi.PermitResponse{Granted: true, AfterMS: after.Milliseconds()}, nil
}

func refusePermit(wait time.Duration) agentapi.PermitResponse {
	return agentapi.PermitResponse{WaitMS: wait.Milliseconds() + 1}
}

// coldWait returns when to ask again for a permit for the cold engine, 0 if one is free. An
// agent that has just started refuses until permits of an earlier start cannot be in use.
func (a *Agent) coldWait(now time.Time, limit int) time.Duration {
	if wait := permitWindow - now.Sub(a.startedAt); wait > 0 && !a.FirstStart {
		return wait
	}
	return a.permits.Wait(now, limit)
}

// coldLimit is the number of permits in a window.
func (a *Agent) coldLimit() int {
	c := a.Config()
	if c == nil {
		return 0
	}
	return int(permitShare * (c.Services[a.Service].MaxColdRate*a.ColdLimit.Over + a.ColdLimit.Slack))
}
