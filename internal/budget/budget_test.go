package budget

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// fakeFleet is a Fleet whose view and staleness the test sets.
type fakeFleet struct {
	view  *controlstate.View
	stale bool
}

func (f *fakeFleet) View() *controlstate.View { return f.view }
func (f *fakeFleet) MayWork() bool            { return !f.stale }

func withMember(v *controlstate.View, id string) *controlstate.View {
	next := *v
	next.Offset++
	join := record.MemberJoin{Instance: id, Incarnation: id, Role: record.RoleEntry, PeerAddr: id}
	next.Members = v.Members.With(id, controlstate.Member{MemberJoin: join, JoinOffset: next.Offset})
	return &next
}

func withoutMember(v *controlstate.View, id string) *controlstate.View {
	next := *v
	next.Offset++
	next.Members = v.Members.Without(id)
	return &next
}

func viewWith(members int, teams map[string]config.Team) *controlstate.View {
	v := *controlstate.Empty()
	v.Offset = 1
	for id, team := range teams {
		v.Teams = v.Teams.With(id, team)
	}
	next := &v
	for i := range members {
		next = withMember(next, fmt.Sprintf("e%04d", i))
	}
	return next
}

var oneTeam = map[string]config.Team{"t": {RateTokensPerS: 100, BurstTokens: 300}}

// newSingleInstance returns the owner and the holder of the only instance of a
// fleet, after the takeover wait.
func newSingleInstance(f *fakeFleet) (*Owner, *Holder) {
	opts := Options{Self: "e0000"}
	tracker := NewTracker(0)
	tracker.Observe(f.view)
	owner := NewOwner(opts, f, tracker)
	time.Sleep(2 * DefaultMaxViewAge)
	return owner, NewHolder(opts, f, tracker, owner, nil)
}

// TestTakeoverWaitRestarts guards against an owner that keeps its bucket although
// another instance may have issued tokens in between (H7).
func TestTakeoverWaitRestarts(t *testing.T) {
	v := viewWith(2, oneTeam)
	joined := withMember(v, "late")
	for name, c := range map[string]struct {
		views   []*controlstate.View
		restart bool
	}{
		"one change at a time":         {[]*controlstate.View{joined}, false},
		"two changes at once":          {[]*controlstate.View{withoutMember(joined, "late")}, true},
		"other records in between":     {[]*controlstate.View{withOffset(v, 9)}, false},
		"a change after other records": {[]*controlstate.View{withMember(withOffset(v, 9), "late")}, true},
		"share count changes":          {[]*controlstate.View{withMoreShares(v)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tracker := NewTracker(0)
				tracker.Observe(v)
				before := tracker.At(v).Team("t")
				time.Sleep(time.Minute)
				for _, next := range c.views {
					tracker.Observe(next)
				}
				after := tracker.At(v).Team("t")
				for i, owner := range after.Owners {
					moved := i >= len(before.Owners) || owner.Incarnation != before.Owners[i].Incarnation
					is.Equal(owner.Since.Equal(time.Now()), moved || c.restart)
				}
			})
		})
	}
}

func withOffset(v *controlstate.View, by backing.Offset) *controlstate.View {
	next := *v
	next.Offset += by
	return &next
}

func withMoreShares(v *controlstate.View) *controlstate.View {
	next := withOffset(v, 1)
	next.Teams = v.Teams.With("t", config.Team{RateTokensPerS: 20_000, BurstTokens: 40_000})
	return next
}

// TestOwnerIssuesOnce guards against a duplicated request or return that issues
// or returns tokens twice (H7, F18).
func TestOwnerIssuesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFleet{view: viewWith(1, oneTeam)}
		owner, _ := newSingleInstance(f)
		req := GrantRequest{Holder: "h", ID: 1, Team: "t", Shares: minShares, Want: 50, Min: 50}
		first := owner.Grant(req)
		is.Equal(first.Tokens, 50.0)
		is.Equal(owner.Grant(req).Tokens, 50.0)
		is.Equal(owner.Grant(req).Left, first.Left)
		back := GrantRequest{Holder: "h", ID: 2, Team: "t", Shares: minShares, Returns: []Return{{ID: 1, Tokens: 20}}}
		is.Equal(owner.Grant(back).Left, first.Left+20)
		is.Equal(owner.Grant(back).Left, first.Left+20)
		f.stale = true
		is.Equal(owner.Grant(req).Refusal, ViewTooOld)
	})
}

// TestReserve guards against wrong refusals for a small team, whose requests
// need several shares, and against a RetryAfter that is too short.
func TestReserve(t *testing.T) {
	for name, c := range map[string]struct {
		tokens []float64
		settle float64
		kind   errkind.Kind
	}{
		"several shares":       {[]float64{240}, 0, ""},
		"more than the burst":  {[]float64{301}, 0, errkind.OverRate},
		"used up":              {[]float64{240, 20}, 0, errkind.OverRate},
		"unused tokens return": {[]float64{50, 230}, 20, ""},
		"an overrun is paid":   {[]float64{50, 190}, 70, errkind.OverRate},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, holder := newSingleInstance(&fakeFleet{view: viewWith(1, oneTeam)})
				var err error
				for i, tokens := range c.tokens {
					var res Reservation
					res, err = holder.Reserve(t.Context(), "t", tokens)
					if i == 0 && c.settle > 0 {
						res.Settle(c.settle)
					}
				}
				is.Equal(err != nil, c.kind != "")
				is.True(err == nil || errkind.Is(err, c.kind))
				if wait := errkind.From(err); err != nil && wait.RetryAfter > 0 {
					time.Sleep(wait.RetryAfter)
					is.NoErr(holder.Spend(t.Context(), "t", c.tokens[len(c.tokens)-1]))
				}
			})
		})
	}
}

// TestShareCount guards against shares that are too small for most requests, and
// against a small team that depends on one owner.
func TestShareCount(t *testing.T) {
	for _, c := range []struct {
		rate, burst float64
		want        int
	}{{100, 300, 4}, {1000, 4000, 4}, {10_000, 22_000, 8}, {20_000, 60_000, 16}, {1e6, 4e6, 16}} {
		is.New(t).Equal(ShareCount(config.Team{RateTokensPerS: c.rate, BurstTokens: c.burst}, DefaultGrantTTL), c.want)
	}
}
