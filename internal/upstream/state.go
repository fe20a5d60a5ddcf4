package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// agentStateAge is how long an agent's report goes before the platform's list.
const agentStateAge = 2500 * time.Millisecond

// headerLoadAge is how long the load in an answer's head counts.
const headerLoadAge = 400 * time.Millisecond

// state is what this instance sees of one upstream.
type state struct {
	up *fleet.Upstream
	// coldUntil comes from the last heartbeat.
	coldUntil time.Time
	health    health
	sends     coldWindow
	prefixes  prefixCache

	inFlight      int
	pendingTokens int
	byName        map[string]*use

	// heardAt is when the upstream or its agent last sent anything, silentSince
	// when the agent's machine stopped to answer.
	heardAt, silentSince time.Time

	agentAddr string
	agent     *agentapi.State
	agentAt   time.Time

	// headRunning and headWaiting are from the head of an answer.
	headRunning, headWaiting int
	headAt                   time.Time
}

// use is what this instance sends to one model or adapter of an upstream.
type use struct {
	inFlight int
	recent   int
}

func newState(u *fleet.Upstream) *state {
	return &state{up: u, prefixes: newPrefixCache(), byName: make(map[string]*use)}
}

func (s *state) use(name string) *use {
	u, ok := s.byName[name]
	if !ok {
		u = &use{}
		s.byName[name] = u
	}
	return u
}

// agentKnows reports whether the agent's state is current and of this start.
func (s *state) agentKnows(now time.Time) bool {
	return s.agent != nil && s.agent.Known && now.Sub(s.agentAt) < agentStateAge && s.agent.Born == s.up.StartedAtMS
}

// holdings returns the newest known holdings.
func (s *state) holdings(now time.Time) *fleet.Holdings {
	if s.agentKnows(now) {
		return s.agent.Holdings
	}
	return s.up.Holdings
}

func (s *state) load(now time.Time, dataCentre string) load {
	l := load{pendingTokens: s.pendingTokens, inFlight: s.inFlight, failing: s.health.failingNow(now), far: s.up.DataCentre != dataCentre}
	if s.agentKnows(now) {
		l.running, l.queued = s.agent.Running, s.agent.Queued
	} else if now.Sub(s.headAt) < headerLoadAge {
		l.running, l.queued = s.headRunning, s.headWaiting
	}
	return l
}

func (s *state) cold(now time.Time) bool {
	return now.Before(s.coldUntil) || now.Before(s.health.suspectUntil)
}

// loadingLeft is the estimated time for which the engine takes no orders.
func (s *state) loadingLeft(now time.Time) time.Duration {
	if !s.agentKnows(now) || s.agent.Loading == "" {
		return 0
	}
	return max(0, time.Duration(s.agent.LoadingLeftMS)*time.Millisecond-now.Sub(s.agentAt))
}

// silent reports whether nothing has come from the upstream or its agent since
// the agent's machine stopped to answer.
func (s *state) silent() bool {
	return !s.silentSince.IsZero() && !s.heardAt.After(s.silentSince)
}

// lost reports whether the agent says that the engine beside it does not answer.
func (s *state) lost(now time.Time) bool {
	return s.agent != nil && !s.agent.Known && now.Sub(s.agentAt) < agentStateAge && !s.heardAt.After(s.agentAt)
}

// replaced reports whether the agent says that another start of the engine has
// the address. The list names the old one until its entry lapses.
func (s *state) replaced(now time.Time) bool {
	return s.agent != nil && s.agent.Known && now.Sub(s.agentAt) < agentStateAge && s.up.StartedAtMS != 0 && s.agent.Born > s.up.StartedAtMS
}
