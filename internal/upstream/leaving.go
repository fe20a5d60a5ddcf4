package upstream

import (
	"math"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Cold reports whether the upstream has started shortly before.
func (p *Pool) Cold(upstreamID string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	return ok && s.cold(now)
}

// leavingShare is the part of the drain time in which a leaving upstream may get streams that
// no other one can go on with. An instance may learn of an announcement 1.4 s late.
const leavingShare = 0.25

// leaves reports whether the upstream has announced that it ends.
func (s *state) leaves(now time.Time) bool {
	return s.upstream.Draining || !s.said.leavingSince.IsZero() || s.agent != nil && s.hasAgentState(now) && s.agent.Draining
}

// noteLeaving records when this instance learns that the upstream ends.
func (s *state) noteLeaving(now time.Time) {
	switch {
	case !s.leaves(now):
		s.servedSeen = true
	case s.leavingAt.IsZero():
		s.leavingAt = now
	}
}

// leavingFor returns for how long the upstream has been known to leave, or forever if it was
// leaving already when this instance first knew it.
func (s *state) leavingFor(now time.Time) time.Duration {
	if !s.servedSeen {
		return math.MaxInt64
	}
	return now.Sub(s.leavingAt)
}

// Leaving reports whether the upstream has announced that it ends, or is no longer listed.
func (p *Pool) Leaving(upstreamID string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[upstreamID]
	return !ok || p.view.Upstreams[upstreamID] == nil || s.leaves(now)
}

// HoldsAddr reports whether no other upstream, and no later start of this one, is known at the
// address of u. An upstream that is no longer listed may still serve.
func (p *Pool) HoldsAddr(u *fleet.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.currentAt(u.Addr)
	return id == "" || id == u.ID && p.view.Upstreams[id].StartedAtMS == u.StartedAtMS
}
