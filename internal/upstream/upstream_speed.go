package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/speed"
)

func (p *Pool) newState(u *fleet.Upstream, now time.Time) *state {
	s := newState(u)
	p.speedGroup(u.Service).Add(&s.speed, now)
	return s
}

// speedGroup returns what is known of the speed of a service's upstreams.
func (p *Pool) speedGroup(service string) *speed.Group {
	g, ok := p.speeds[service]
	if !ok {
		g = speed.NewGroup()
		p.speeds[service] = g
	}
	return g
}

// modelSpeed returns the time of work for the model of q relative to others.
func (p *Pool) modelSpeed(q *Query) float64 {
	if q.Model == "" {
		return 1
	}
	return p.speedGroup(q.Service).Model(q.Model)
}

// maxPausePenalty bounds pausePenalty, since the pauses of the last seconds say little of
// the next ones.
const maxPausePenalty = time.Second

// pausePenalty returns by how much the engine's recent streams paused for longer than the
// events of q may be apart. Prompts that the engine reads for other requests cause such
// pauses.
func pausePenalty(q *Query, s *state, now time.Time) time.Duration {
	if q.EventInterval <= 0 {
		return 0
	}
	return max(0, min(maxPausePenalty, s.speed.LongestPause(now)-q.EventInterval))
}
