package budget

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// Ownership maps each share of each team to its owner in one view. It is
// immutable; next returns the ownership in a later view.
type Ownership struct {
	view    *controlstate.View
	entries []entry
	teams   map[string]*TeamShares
	ttl     time.Duration
}

func newOwnership(ttl time.Duration) *Ownership {
	return &Ownership{view: controlstate.Empty(), teams: map[string]*TeamShares{}, ttl: ttl}
}

// Team returns the shares of a team, or nil if the team is not in the view.
func (o *Ownership) Team(id string) *TeamShares { return o.teams[id] }

// next returns the ownership in the later view v; now is the current time.
//
// A share keeps its Since only if it certainly had no other owner in between.
// Between views that are more than one record apart, another instance may have
// joined, become the owner and been removed, and may still be issuing tokens. So
// if the members, data centres or teams changed over such a gap, the takeover
// wait of every share restarts.
func (o *Ownership) next(v *controlstate.View, now time.Time) *Ownership {
	if v.Members == o.view.Members && v.DataCentres == o.view.DataCentres && v.Teams == o.view.Teams {
		same := *o
		same.view = v
		return &same
	}
	change := o.membershipChange(v)
	gap := v.Offset != o.view.Offset+1
	next := &Ownership{view: v, entries: change.entries, ttl: o.ttl}
	next.teams = make(map[string]*TeamShares, v.Teams.Len())
	for id, team := range v.Teams.All() {
		shares := o.shares(id, team, change, now)
		if gap {
			shares = shares.restartTakeovers(now)
		}
		next.teams[id] = shares
	}
	return next
}

func (o *Ownership) membershipChange(v *controlstate.View) membershipChange {
	if v.Members == o.view.Members && v.DataCentres == o.view.DataCentres {
		return membershipChange{entries: o.entries}
	}
	change := membershipChange{entries: liveEntries(v)}
	change.added, change.removed = diffEntries(o.entries, change.entries)
	return change
}

// shares returns the shares of a team. If their number changes, all of them get
// a new takeover wait: otherwise, while views differ, the owners of the old and
// of the new shares would issue the team's rate twice.
func (o *Ownership) shares(id string, team config.Team, change membershipChange, now time.Time) *TeamShares {
	count := ShareCount(team, o.ttl)
	old := o.teams[id]
	if old == nil || len(old.Owners) != count {
		return assignOwners(id, team, count, change.entries, now)
	}
	if change.changed() {
		old = old.reassign(id, change, now)
	}
	if old.Team == team {
		return old
	}
	return &TeamShares{Team: team, Owners: old.Owners}
}
