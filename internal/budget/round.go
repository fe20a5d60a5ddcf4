package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// closedWait is the time for which an instance that does not act as owner is
// not asked about the share again.
const closedWait = 500 * time.Millisecond

// maxMisses bounds the requests of a round that are lost to other holders or to
// silent owners while messages are scarce.
const maxMisses = 2

// minRetryAfter keeps refused callers from retrying within a round trip.
const minRetryAfter = 50 * time.Millisecond

// round is one attempt to get tokens for the first waiting request.
type round struct {
	holder *Holder
	pool   *pool
	team   *TeamShares
	// size is the capacity of one share's bucket in tokens.
	size   float64
	demand *demand
	// sparing is set while messages are scarce: then only promising shares are
	// asked. Otherwise every share that may hold enough is.
	sparing bool
	// misses counts the requests that brought less than expected.
	misses int
	// throttled is set when the limit of messages is reached.
	throttled bool
}

func (r *round) givesUp() bool {
	return r.throttled || r.sparing && r.misses >= maxMisses
}

func (r *round) need() float64 { return r.demand.needs[0] }

// level returns the most that the share can give now, 0 if its owner is
// silent.
func (r *round) level(share int, now time.Time) float64 {
	owner := &r.team.Owners[share]
	if _, suspended := r.holder.suspects.state(owner.Incarnation, now); suspended || owner.Incarnation == "" {
		return 0
	}
	return r.pool.hints[share].level(now, r.team.rate(), r.size, r.sparing)
}

// order returns the shares: this instance's own first, suspected owners'
// last, otherwise in an order that differs from holder to holder so that the
// load spreads.
func (r *round) order(now time.Time) []int {
	type ranked struct {
		share, group int
		score        uint64
	}
	list := make([]ranked, len(r.team.Owners))
	for i := range list {
		owner := &r.team.Owners[i]
		list[i] = ranked{i, 1, score(hashOfShare(r.pool.id, i), r.holder.hash)}
		if owner.Incarnation == r.holder.opts.Self {
			list[i].group = 0
		} else if suspected, _ := r.holder.suspects.state(owner.Incarnation, now); suspected {
			list[i].group = 2
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.score, b.score))
	})
	out := make([]int, len(list))
	for i, x := range list {
		out[i] = x.share
	}
	return out
}

// askWhole looks for one share that covers the need alone.
func (r *round) askWhole() bool {
	for _, share := range r.order(time.Now()) {
		level := r.level(share, time.Now())
		if level < r.need() || r.givesUp() {
			continue
		}
		least := r.need()
		for _, need := range r.demand.needs {
			if need <= level {
				least = need
			}
		}
		if r.ask(share, least+r.demand.ahead, least, false) >= r.need() {
			return true
		}
		r.misses++
	}
	return false
}

// gather collects the need from several shares if together they may cover it.
// A debt is collected in any case, because it may exceed what the shares ever
// hold at once.
func (r *round) gather() bool {
	missing := r.need()
	for range 2 * len(r.team.Owners) {
		if r.givesUp() {
			return false
		}
		share, sum := r.fullest(time.Now())
		if sum < missing && (r.demand.debt <= 0 || sum < 1) {
			return false
		}
		expected := min(missing, r.level(share, time.Now()))
		got := r.ask(share, missing, 0, true)
		missing -= got
		if got < expected/2 {
			r.misses++
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// fullest returns the share with the highest level and the sum of all levels.
func (r *round) fullest(now time.Time) (share int, sum float64) {
	best := -1.0
	for i := range r.team.Owners {
		level := r.level(i, now)
		sum += level
		if level > best {
			best, share = level, i
		}
	}
	return share, sum
}

// refusal says when the shares will hold enough at the team's rate.
func (r *round) refusal() error {
	_, sum := r.fullest(time.Now())
	wait := time.Duration((r.need() - sum) / r.team.Team.RateTokensPerS * float64(time.Second))
	wait = max(wait, minRetryAfter)
	return errkind.New(errkind.OverRate, "the team's token rate is used up").WithRetryAfter(wait)
}

// ask requests tokens from one share and returns what it got.
func (r *round) ask(share int, want, least float64, gathered bool) float64 {
	delay, ok := r.holder.admitMessage(r.team, share)
	if !ok {
		r.throttled = true
		return 0
	}
	req := r.holder.request(r.pool, r.team, share)
	req.Want, req.Min, req.Spent = want, least, r.demand.spent
	r.demand.spent = 0
	sent, resp, end := r.holder.call(r.team, delay, req)
	now := time.Now()
	hint := &r.pool.hints[share]
	if end == silent {
		hint.closed = now.Add(minSuspension)
		return 0
	}
	if resp.Refusal != "" {
		hint.closed = now.Add(closedWait)
		return 0
	}
	hint.learn(now, resp.Tokens, resp.Left, r.team.rate())
	ttl := min(r.holder.opts.GrantTTL, time.Duration(resp.TTLMS)*time.Millisecond)
	expires := sent.Add(ttl)
	if resp.Tokens <= 0 || !now.Before(expires) {
		return 0
	}
	r.pool.add(grant{id: resp.ID, share: share, tokens: resp.Tokens, expires: expires, gathered: gathered})
	return resp.Tokens
}
