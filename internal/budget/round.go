package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// refusalBackoff is how long a holder does not ask for a share again after the
// instance refused to act as its owner.
const refusalBackoff = 500 * time.Millisecond

// maxMisses is the number of misses after which a round stops while savingMessages
// is set. A miss is a request that gets too few tokens, because other holders took
// them or the owner did not answer.
const maxMisses = 2

// minRetryAfter keeps refused callers from retrying sooner than a round trip
// takes.
const minRetryAfter = 50 * time.Millisecond

// round is one attempt to get tokens for the first waiting request, by one or
// more requests to owners.
type round struct {
	holder *Holder
	pool   *grantPool
	team   *TeamShares
	// size is the capacity of one share's bucket in tokens.
	size   float64
	demand *demand
	// savingMessages is set while less than half of Options.RequestBurst is left.
	// Then the holder asks only for shares that hold enough according to their
	// observed growth. Otherwise it asks for every share that may hold enough.
	savingMessages bool
	// misses counts the requests that got fewer tokens than expected.
	misses int
	// rateLimited is set when Options.RequestsPerS does not allow another request.
	rateLimited bool
}

func (r *round) shouldStop() bool {
	return r.rateLimited || r.savingMessages && r.misses >= maxMisses
}

func (r *round) need() float64 { return r.demand.needs[0] }

// level estimates the tokens that the share can give now. It is 0 if the share
// has no owner or the backoff of its owner still runs.
func (r *round) level(share int, now time.Time) float64 {
	owner := &r.team.Owners[share]
	if _, backingOff := r.holder.backoffs.state(owner.Incarnation, now); backingOff || owner.Incarnation == "" {
		return 0
	}
	return r.pool.bucketEstimates[share].level(now, r.team.shareRate(), r.size, r.savingMessages)
}

// rankShares returns the shares in the order in which to ask for them. The shares
// that this instance owns come first, and those whose owners did not answer their
// last call come at the end. Within each group the order differs between holders,
// which spreads the load.
func (r *round) rankShares(now time.Time) []int {
	type ranked struct {
		share, group int
		score        uint64
	}
	list := make([]ranked, len(r.team.Owners))
	for i := range list {
		owner := &r.team.Owners[i]
		list[i] = ranked{i, 1, rendezvousScore(hashOfShare(r.pool.id, i), r.holder.hash)}
		if owner.Incarnation == r.holder.opts.Self {
			list[i].group = 0
		} else if failing, _ := r.holder.backoffs.state(owner.Incarnation, now); failing {
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

// requestFromOne requests the need from a single share and reports whether it got
// it. It also asks for the tokens of as many of the following requests as the share
// can cover, and for the prefetch.
func (r *round) requestFromOne() bool {
	for _, share := range r.rankShares(time.Now()) {
		level := r.level(share, time.Now())
		if level < r.need() || r.shouldStop() {
			continue
		}
		atLeast := r.need()
		for _, need := range r.demand.needs {
			if need <= level {
				atLeast = need
			}
		}
		if r.requestGrant(share, atLeast+r.demand.prefetch, atLeast, false) >= r.need() {
			return true
		}
		r.misses++
	}
	return false
}

// requestFromSeveral collects the need from several shares if they may cover it
// together, and reports whether it did. If there is a debt, it collects what they
// hold even if that is too little, because a debt may exceed what the shares can
// hold at once.
func (r *round) requestFromSeveral() bool {
	missing := r.need()
	for range 2 * len(r.team.Owners) {
		if r.shouldStop() {
			return false
		}
		share, sum := r.fullest(time.Now())
		if sum < missing && (r.demand.debt <= 0 || sum < 1) {
			return false
		}
		expected := min(missing, r.level(share, time.Now()))
		got := r.requestGrant(share, missing, 0, true)
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

// fullest returns the share with the highest level, and the sum of all levels.
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

// overRateError returns an over_rate error. Its RetryAfter is the time after which
// the shares will hold enough at the team's rate.
func (r *round) overRateError() error {
	_, sum := r.fullest(time.Now())
	wait := time.Duration((r.need() - sum) / r.team.Team.RateTokensPerS * float64(time.Second))
	wait = max(wait, minRetryAfter)
	return errkind.New(errkind.OverRate, "the team's token rate is used up").WithRetryAfter(wait)
}

// requestGrant requests tokens from one share and returns the number granted.
func (r *round) requestGrant(share int, want, atLeast float64, partial bool) float64 {
	delay, ok := r.holder.reserveMessage(r.team, share)
	if !ok {
		r.rateLimited = true
		return 0
	}
	req := r.holder.newRequest(r.pool, r.team, share)
	req.Want, req.Min, req.Spent = want, atLeast, r.demand.spent
	r.demand.spent = 0
	sent, resp, result := r.holder.call(r.team, delay, req)
	now := time.Now()
	estimate := &r.pool.bucketEstimates[share]
	if result == callFailed {
		estimate.skipUntil = now.Add(minOwnerBackoff)
		return 0
	}
	if resp.Refusal != "" {
		estimate.skipUntil = now.Add(refusalBackoff)
		return 0
	}
	estimate.update(now, resp.Tokens, resp.Left, r.team.shareRate())
	ttl := min(r.holder.opts.GrantTTL, time.Duration(resp.TTLMS)*time.Millisecond)
	expires := sent.Add(ttl)
	if resp.Tokens <= 0 || !now.Before(expires) {
		return 0
	}
	r.pool.add(grant{id: resp.ID, share: share, tokens: resp.Tokens, expires: expires, partial: partial})
	return resp.Tokens
}
