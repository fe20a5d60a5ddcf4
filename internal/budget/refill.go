package budget

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// refill requests tokens from owners until no request of the team is waiting.
func (h *Holder) refill(p *grantPool) {
	for {
		now := time.Now()
		d, surplus, paid, waiting := p.serveWaiters(now, h.opts.GrantTTL)
		h.chargeDebt(p.id, now, paid)
		if !waiting {
			h.returnGrants(p, surplus)
			return
		}
		if err := h.acquire(p, &d); err != nil {
			p.rejectFirst(err)
		}
	}
}

// acquire requests the tokens that the first waiting request needs. It asks for
// more for the following requests if that does not take tokens away from other
// holders. It returns an over_rate error if the shares hold too few tokens.
func (h *Holder) acquire(p *grantPool, d *demand) error {
	if !h.fleet.MayWork() {
		return errViewStale()
	}
	own := h.tracker.At(h.fleet.View())
	team := own.Team(p.id)
	if team == nil {
		return errkind.New(errkind.Forbidden, fmt.Sprintf("team %q does not exist", p.id))
	}
	if len(p.bucketEstimates) != len(team.Owners) {
		p.bucketEstimates = make([]bucketEstimate, len(team.Owners))
	}
	if d.firstTokens > team.Team.Capacity(own.ttl) {
		return errkind.New(errkind.OverRate, fmt.Sprintf("the request needs %.0f tokens, more than the team's burst allows", d.firstTokens))
	}
	r := round{holder: h, pool: p, team: team, size: team.shareCapacity(own.ttl), demand: d}
	r.savingMessages = h.limiter.Tokens() < float64(h.opts.RequestBurst)/2
	if r.requestFromOne() || r.requestFromSeveral() {
		return nil
	}
	return r.overRateError()
}

// returnGrants returns the unspent tokens of partial grants to their owners. If a
// message is lost, its tokens expire unused; the team still stays within its rate
// and burst.
func (h *Holder) returnGrants(p *grantPool, grants []grant) {
	if len(grants) == 0 {
		return
	}
	team := h.tracker.At(h.fleet.View()).Team(p.id)
	if team == nil {
		return
	}
	requests := make([]GrantRequest, 0, len(grants))
	for _, g := range grants {
		if g.share >= len(team.Owners) {
			continue
		}
		req := h.newRequest(p, team, g.share)
		req.Returns = []Return{{ID: g.id, Tokens: g.tokens}}
		requests = append(requests, req)
	}
	go h.sendReturns(team, requests)
}

// sendReturns sends the requests one after the other. It stops at the first one
// that the rate limit would delay for too long.
func (h *Holder) sendReturns(team *TeamShares, requests []GrantRequest) {
	for _, req := range requests {
		delay, ok := h.reserveMessage(team, req.Share)
		if !ok {
			return
		}
		h.call(team, delay, req)
	}
}

// newRequest returns a request to the owner of a share without an amount.
func (h *Holder) newRequest(p *grantPool, team *TeamShares, share int) GrantRequest {
	return GrantRequest{
		Offset: uint64(h.fleet.View().Offset),
		Holder: h.opts.Self,
		ID:     p.nextID.Add(1),
		Team:   p.id,
		Share:  share,
		Shares: len(team.Owners),
	}
}

// callResult says whether the owner answered a call.
type callResult int

const (
	callAnswered callResult = iota
	callFailed
)

// maxMessageDelay is how long a message may be delayed by the rate limit of
// Options.RequestsPerS. If it had to wait longer, the holder refuses the request
// that needs the tokens: so many messages are needed only when the budget is
// contended.
const maxMessageDelay = 100 * time.Millisecond

// reserveMessage returns how long to wait before sending a request to the share's
// owner. It returns false if that exceeds maxMessageDelay. Requests for shares
// that this instance owns need no message.
func (h *Holder) reserveMessage(team *TeamShares, share int) (time.Duration, bool) {
	if team.Owners[share].Incarnation == h.opts.Self {
		return 0, true
	}
	reservation := h.limiter.Reserve()
	delay := reservation.Delay()
	if delay > maxMessageDelay {
		reservation.Cancel()
		return 0, false
	}
	h.messages.Add(1)
	return delay, true
}

// call waits for the delay and then sends a request to the owner of its share. It
// returns the time just before sending. The TTL of the grant counts from then,
// because the owner may have issued the tokens at any time after it.
func (h *Holder) call(team *TeamShares, delay time.Duration, req GrantRequest) (time.Time, GrantResponse, callResult) {
	owner := &team.Owners[req.Share]
	if delay > 0 {
		time.Sleep(delay)
	}
	sent := time.Now()
	h.opts.step(RequestBeforeSend)
	if owner.Incarnation == h.opts.Self {
		resp := h.owner.Grant(req)
		h.opts.step(RequestAnswered)
		return sent, resp, callAnswered
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.RequestTimeout)
	defer cancel()
	resp, err := h.peer.Grant(ctx, owner.Addr, req)
	h.opts.step(RequestAnswered)
	if err != nil || resp.ID != req.ID {
		h.backoffs.recordFailure(owner.Incarnation, time.Now())
		return sent, resp, callFailed
	}
	h.backoffs.recordSuccess(owner.Incarnation)
	return sent, resp, callAnswered
}
