package upstream

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// unusableReason tells for each known upstream of a service why no request may go there, in numbers, for
// the log: "no usable upstream for the service (1 evacuated, 2 leaving)".
func (p *Pool) unusableReason(q *Query, now time.Time) string {
	counts := make(map[string]int)
	for s := range p.byService[q.Service] {
		counts[p.unusableCause(q, s, now)]++
	}
	if len(counts) == 0 {
		return "no usable upstream for the service (none listed)"
	}
	parts := make([]string, 0, len(counts))
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[cause], cause))
	}
	return "no usable upstream for the service (" + strings.Join(parts, ", ") + ")"
}

// unusableCause tells why a request may not go to an upstream.
func (p *Pool) unusableCause(q *Query, s *state, now time.Time) string {
	switch {
	case p.view.Upstreams[s.upstream.ID] == nil:
		return "no longer listed"
	case s.leaves(now):
		return "leaving"
	case p.view.Evacuated[s.upstream.DataCentre]:
		return "evacuated"
	case s.replaced(now) || p.currentAt(s.upstream.Addr) != s.upstream.ID:
		return "replaced at its address"
	case s.machineUnresponsive() || s.engineUnresponsive(now):
		return "unresponsive"
	case now.Before(s.health.ejectedUntil):
		return "ejected after failures"
	case q.Tried[s.upstream.ID]:
		return "tried before"
	default:
		return "otherwise excluded"
	}
}
