package budget

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// refill gets tokens for the waiting requests of a team until none waits.
func (h *Holder) refill(p *pool) {
	for {
		now := time.Now()
		d, leftover, settled, more := p.serve(now, h.opts.GrantTTL)
		h.chargeDebt(p.id, now, settled)
		if !more {
			h.sendBack(p, leftover)
			return
		}
		if err := h.get(p, &d); err != nil {
			p.refuse(err)
		}
	}
}

// get asks owners for the first request's need, and for more if that costs no
// one else anything. It returns a refusal when the budget is used up.
func (h *Holder) get(p *pool, d *demand) error {
	if !h.fleet.MayWork() {
		return errViewStale()
	}
	own := h.tracker.At(h.fleet.View())
	team := own.Team(p.id)
	if team == nil {
		return errkind.New(errkind.Forbidden, fmt.Sprintf("team %q does not exist", p.id))
	}
	if len(p.hints) != len(team.Owners) {
		p.hints = make([]hint, len(team.Owners))
	}
	if d.tokens > capacity(team.Team, own.ttl) {
		return errkind.New(errkind.OverRate, fmt.Sprintf("the request needs %.0f tokens, more than the team's burst allows", d.tokens))
	}
	r := round{holder: h, pool: p, team: team, size: team.size(own.ttl), demand: d}
	r.sparing = h.limiter.Tokens() < float64(h.opts.RequestBurst)/2
	if r.askWhole() || r.gather() {
		return nil
	}
	return r.refusal()
}

// sendBack returns tokens that were gathered in vain or in excess. A lost
// message costs tokens and breaks no bound.
func (h *Holder) sendBack(p *pool, grants []grant) {
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
		req := h.request(p, team, g.share)
		req.Returns = []Return{{ID: g.id, Tokens: g.tokens}}
		requests = append(requests, req)
	}
	go h.sendAll(team, requests)
}

// sendAll sends requests one after the other while the limit of messages
// allows it.
func (h *Holder) sendAll(team *TeamShares, requests []GrantRequest) {
	for _, req := range requests {
		delay, ok := h.admitMessage(team, req.Share)
		if !ok {
			return
		}
		h.call(team, delay, req)
	}
}

// request returns an empty request to the owner of a share.
func (h *Holder) request(p *pool, team *TeamShares, share int) GrantRequest {
	return GrantRequest{
		Offset: uint64(h.fleet.View().Offset),
		Holder: h.opts.Self,
		ID:     p.nextID.Add(1),
		Team:   p.id,
		Share:  share,
		Shares: len(team.Owners),
	}
}

// callEnd tells how a call ended.
type callEnd int

const (
	answered callEnd = iota
	silent
)

// maxThrottle is the longest wait for the limit of messages. Beyond it a
// request is better refused: the budget is contended, or there would be grants.
const maxThrottle = 100 * time.Millisecond

// admitMessage returns how long to wait before a request to the share's owner.
// It reports false if that would be too long. This instance's own shares cost
// no message.
func (h *Holder) admitMessage(team *TeamShares, share int) (time.Duration, bool) {
	if team.Owners[share].Incarnation == h.opts.Self {
		return 0, true
	}
	r := h.limiter.Reserve()
	delay := r.Delay()
	if delay > maxThrottle {
		r.Cancel()
		return 0, false
	}
	h.messages.Add(1)
	return delay, true
}

// call sends a request to the owner of its share after a delay. The returned
// time precedes the sending; the grant's life counts from it, because the owner
// may have issued at any time after it.
func (h *Holder) call(team *TeamShares, delay time.Duration, req GrantRequest) (time.Time, GrantResponse, callEnd) {
	owner := &team.Owners[req.Share]
	if delay > 0 {
		time.Sleep(delay)
	}
	sent := time.Now()
	h.opts.step(RequestBeforeSend)
	if owner.Incarnation == h.opts.Self {
		resp := h.owner.Grant(req)
		h.opts.step(RequestAnswered)
		return sent, resp, answered
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.RequestTimeout)
	defer cancel()
	resp, err := h.peer.Grant(ctx, owner.Addr, req)
	h.opts.step(RequestAnswered)
	if err != nil || resp.ID != req.ID {
		h.suspects.silent(owner.Incarnation, time.Now())
		return sent, resp, silent
	}
	h.suspects.answered(owner.Incarnation)
	return sent, resp, answered
}
