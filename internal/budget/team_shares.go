package budget

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// TeamShares holds the owners of one team's shares in a view. It is immutable.
type TeamShares struct {
	Team   config.Team
	Owners []ShareOwner
}

// shareRate returns the rate of one share in tokens per second.
func (t *TeamShares) shareRate() float64 {
	return t.Team.RateTokensPerS / float64(len(t.Owners))
}

// shareCapacity returns the capacity of one share's bucket in tokens.
func (t *TeamShares) shareCapacity(ttl time.Duration) float64 {
	return t.Team.Capacity(ttl) / float64(len(t.Owners))
}

// assignOwners determines the owners of all shares, with Since set to now.
func assignOwners(id string, team config.Team, shares int, entries []entry, now time.Time) *TeamShares {
	t := &TeamShares{Team: team, Owners: make([]ShareOwner, shares)}
	for i := range t.Owners {
		t.Owners[i] = pickOwner(hashOfShare(id, i), entries, now)
	}
	return t
}

func pickOwner(shareHash uint64, entries []entry, now time.Time) ShareOwner {
	owner := ShareOwner{Since: now}
	for _, e := range entries {
		owner.replaceIfHigher(shareHash, e, now)
	}
	return owner
}

// reassign returns t after a change of the entry instances. A share that keeps its
// owner keeps its Since.
func (t *TeamShares) reassign(id string, change membershipChange, now time.Time) *TeamShares {
	next := &TeamShares{Team: t.Team, Owners: make([]ShareOwner, len(t.Owners))}
	copy(next.Owners, t.Owners)
	for i := range next.Owners {
		hash := hashOfShare(id, i)
		owner := &next.Owners[i]
		if change.removed[owner.Incarnation] {
			*owner = pickOwner(hash, change.entries, now)
			continue
		}
		for _, e := range change.added {
			owner.replaceIfHigher(hash, e, now)
		}
	}
	return next
}

// restartTakeovers returns t with the takeover wait of every share restarted.
func (t *TeamShares) restartTakeovers(now time.Time) *TeamShares {
	next := &TeamShares{Team: t.Team, Owners: make([]ShareOwner, len(t.Owners))}
	copy(next.Owners, t.Owners)
	for i := range next.Owners {
		next.Owners[i].Since = now
	}
	return next
}
