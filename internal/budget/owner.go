package budget

import (
	"sync"
	"time"
)

// keepGrants is the number of grant lives for which an owner remembers a
// grant. A message that is delayed longer wastes tokens and breaks no bound.
const keepGrants = 4

// Owner issues grants for the shares that this instance owns.
type Owner struct {
	opts    Options
	fleet   Fleet
	tracker *Tracker

	mu     sync.Mutex
	shares map[shareKey]*share
}

type shareKey struct {
	team  string
	share int
}

// NewOwner returns an owner that follows the views seen by tracker.
func NewOwner(opts Options, fleet Fleet, tracker *Tracker) *Owner {
	return &Owner{
		opts:    opts.withDefaults(),
		fleet:   fleet,
		tracker: tracker,
		shares:  make(map[shareKey]*share),
	}
}

// Grant answers a holder's request.
//
// The time is read before MayWork is asked, and the view is taken after it.
// The view then holds every change appended up to ViewBound before that time,
// so a later owner, which waits ViewBound after folding its change, starts
// after every time at which this one issued, wherever this one was paused.
func (o *Owner) Grant(req GrantRequest) GrantResponse {
	now := time.Now()
	o.opts.step(GrantReceived)
	resp := GrantResponse{ID: req.ID}
	if !o.fleet.MayWork() {
		resp.Refusal = ViewTooOld
		return resp
	}
	own := o.tracker.At(o.fleet.View())
	o.opts.step(GrantChecked)
	resp.Offset = uint64(own.view.Offset)
	team := own.Team(req.Team)
	if team == nil || req.Shares != len(team.Owners) || req.Share < 0 || req.Share >= len(team.Owners) {
		resp.Refusal = NotOwner
		return resp
	}
	owner := team.Owners[req.Share]
	if owner.Incarnation != o.opts.Self {
		resp.Refusal = NotOwner
		return resp
	}
	start := owner.Since.Add(o.opts.MaxViewAge)
	if now.Before(start) {
		resp.Refusal = TakingOver
		return resp
	}
	o.issue(&req, &resp, terms{owner.Since, start, now, team.rate(), team.size(own.ttl)})
	o.opts.step(GrantTaken)
	return resp
}

func (o *Owner) issue(req *GrantRequest, resp *GrantResponse, t terms) {
	s := o.share(shareKey{req.Team, req.Share})
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.since.Before(s.since) {
		// A request that was paused while the share was lost and regained.
		resp.Refusal = NotOwner
		return
	}
	s.adopt(t)
	s.bucket.advance(t.now)
	s.bucket.configure(t.rate, t.size)
	s.giveBack(req.Holder, req.Returns)
	if req.Want > 0 {
		resp.Tokens = s.issue(req, t.now)
	}
	s.sweep(t.now, keepGrants*o.opts.GrantTTL)
	resp.TTLMS = o.opts.GrantTTL.Milliseconds()
	resp.Left = s.bucket.level
}

func (o *Owner) share(key shareKey) *share {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.shares[key]
	if !ok {
		s = &share{}
		o.shares[key] = s
	}
	return s
}

// Sweep drops the state of shares that this instance lost a while ago. It may
// be called at any time, once a minute for example. The delay matters: a request
// that was paused before the loss would otherwise find a new and full bucket.
func (o *Owner) Sweep() {
	now := time.Now()
	own := o.tracker.At(o.fleet.View())
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, s := range o.shares {
		team := own.Team(key.team)
		if team != nil && key.share < len(team.Owners) && team.Owners[key.share].Incarnation == o.opts.Self {
			s.lost = time.Time{}
			continue
		}
		if s.lost.IsZero() {
			s.lost = now
		}
		if now.Sub(s.lost) > keepGrants*o.opts.GrantTTL {
			delete(o.shares, key)
		}
	}
}
