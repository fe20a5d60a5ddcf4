package upstream

import (
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/slidingwindow"
	"github.com/jacinthbend/jacinthbend/internal/speed"
)

// maxAgentStateAge is how long an agent's report takes precedence over the
// platform's list of upstreams.
const maxAgentStateAge = 2500 * time.Millisecond

// maxHeaderLoadAge is how long the load in a response header is used.
const maxHeaderLoadAge = 400 * time.Millisecond

// state is this instance's view of one upstream.
type state struct {
	upstream *fleet.Upstream
	// coldUntil is derived from the last heartbeat.
	coldUntil time.Time
	health    health
	// sends counts the requests of this instance to the upstream, also while it is warm, so
	// that the count is already right when it turns cold.
	sends slidingwindow.Counter
	// lastSent is when this instance last sent a request to the upstream.
	lastSent time.Time
	prefixes prefixCache

	speed         speed.Upstream
	inFlight      int
	pendingTokens int
	usageByName   map[string]*usage

	// lastContact is when the upstream or its agent last responded.
	// unresponsiveSince is when a call to the agent first timed out after that.
	lastContact, unresponsiveSince time.Time

	// noPermitUntil is until when the agent grants no permits for the engine, and
	// permitsFailed whether it did not answer.
	noPermitUntil time.Time
	permitsFailed bool

	agentAddr string
	// agent is the last report of the agent, as of agentStateAt. agentConfirmedAt is
	// when it was last known to be still current.
	agent                          *agentapi.State
	agentStateAt, agentConfirmedAt time.Time

	// headerRunning and headerQueued are from the headers of the last response.
	headerRunning, headerQueued int
	headerAt                    time.Time
	// loadInvalid tells that a response stated a load that could not be decoded.
	loadInvalid bool
	// headerLimit is the rate limit that the upstream named in its last response, 0 if
	// none, as of headerLimitAt.
	headerLimit   float64
	headerLimitAt time.Time
	said          announcements
	// servedSeen tells that this instance has known the upstream before it announced that it
	// leaves; leavingAt is when it then learned that, zero before.
	servedSeen bool
	leavingAt  time.Time
}

// usage is this instance's use of one model or adapter of an upstream.
type usage struct {
	inFlight int
	// sent is the number of requests sent since the last call of Pool.Demand.
	sent int
}

func newState(u *fleet.Upstream) *state {
	return &state{upstream: u, sends: slidingwindow.Counter{Length: coldWindowLength}, prefixes: newPrefixCache(), usageByName: make(map[string]*usage)}
}

func (s *state) usage(name string) *usage {
	u, ok := s.usageByName[name]
	if !ok {
		u = &usage{}
		s.usageByName[name] = u
	}
	return u
}

// hasAgentState reports whether the agent's last report is recent and describes
// this instance of the upstream rather than one before or after a restart.
func (s *state) hasAgentState(now time.Time) bool {
	return s.agent != nil && s.agent.Reachable && now.Sub(s.agentConfirmedAt) < maxAgentStateAge && s.agent.StartedAtMS == s.upstream.StartedAtMS
}

// holdings returns the most recent known holdings.
func (s *state) holdings(now time.Time) *fleet.Holdings {
	if s.hasAgentState(now) {
		return s.agent.Holdings
	}
	return s.upstream.Holdings
}

func (s *state) loadSnapshot(now time.Time, dataCentre string) loadSnapshot {
	l := loadSnapshot{pendingTokens: s.pendingTokens, inFlight: s.inFlight, failureRate: s.health.currentFailureRate(now), remote: s.upstream.DataCentre != dataCentre}
	if s.hasAgentState(now) {
		l.running, l.queued = s.agent.Running, s.agent.Queued
	} else if now.Sub(s.headerAt) < maxHeaderLoadAge {
		l.running, l.queued = s.headerRunning, s.headerQueued
	}
	return l
}

// rateLimit returns how many requests a second the upstream takes from all instances
// together, or 0 for no limit. Its agent reads that from the engine itself; a response may
// be newer.
func (s *state) rateLimit(now time.Time) float64 {
	if s.hasAgentState(now) && s.agentConfirmedAt.After(s.headerLimitAt) {
		return s.agent.RateLimit
	}
	return s.headerLimit
}

func (s *state) cold(now time.Time) bool {
	return now.Before(s.coldUntil) || now.Before(s.health.assumedColdUntil)
}

// remainingLoadTime estimates how long the engine will refuse orders because it is
// loading a model.
func (s *state) remainingLoadTime(now time.Time) time.Duration {
	if !s.hasAgentState(now) || s.agent.Loading == "" {
		return 0
	}
	return max(0, time.Duration(s.agent.LoadRemainingMS)*time.Millisecond-now.Sub(s.agentStateAt))
}

func (s *state) confirmAgent(at time.Time) {
	if at.Before(s.agentConfirmedAt) {
		return
	}
	s.agentConfirmedAt = at
	if s.agent.Reachable && at.After(s.lastContact) {
		s.lastContact = at
	}
}

// machineUnresponsive reports whether a call to the agent has timed out and neither
// the agent nor the upstream has responded since.
func (s *state) machineUnresponsive() bool {
	return !s.unresponsiveSince.IsZero() && !s.lastContact.After(s.unresponsiveSince)
}

// engineUnresponsive reports whether the last report of the agent says that its
// engine does not answer, and the engine has not responded since.
func (s *state) engineUnresponsive(now time.Time) bool {
	return s.agent != nil && !s.agent.Reachable && now.Sub(s.agentConfirmedAt) < maxAgentStateAge && !s.lastContact.After(s.agentStateAt)
}

// replaced reports whether, according to the agent, a newer engine instance now
// has the address. The platform's list of upstreams still has the old one until
// its entry expires.
func (s *state) replaced(now time.Time) bool {
	return s.agent != nil && s.agent.Reachable && now.Sub(s.agentConfirmedAt) < maxAgentStateAge && s.upstream.StartedAtMS != 0 && s.agent.StartedAtMS > s.upstream.StartedAtMS
}

// eachAvailable calls f for each model that the engine has loaded or at hand, or is going
// to load.
func (s *state) eachAvailable(now time.Time, f func(model string)) {
	if h := s.holdings(now); h != nil {
		for model := range h.Adapters {
			f(model)
		}
		for _, model := range slices.Concat(h.InMemory, h.OnDisk) {
			f(model)
		}
	}
	if s.hasAgentState(now) {
		for _, model := range append([]string{s.agent.Loading}, s.agent.LoadQueue...) {
			f(model)
		}
	}
}

// agentReportOutdated reports whether the last report of the agent is newer than st.
func (s *state) agentReportOutdated(st *agentapi.State, at time.Time) bool {
	if s.agent == nil {
		return false
	}
	if st.Incarnation == s.agent.Incarnation {
		return st.Version < s.agent.Version
	}
	return at.Before(s.agentStateAt)
}
