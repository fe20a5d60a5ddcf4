package budget

import (
	"sync"
	"time"
)

// grantRetentionTTLs is how long an owner keeps the record of a grant, in
// multiples of GrantTTL. A message that arrives later can only waste tokens; the
// team still stays within its rate and burst.
const grantRetentionTTLs = 4

// Owner issues grants from the shares that this instance owns.
type Owner struct {
	opts    Options
	fleet   Fleet
	tracker *Tracker

	mu     sync.Mutex
	shares map[shareKey]*ownedShare
}

type shareKey struct {
	team  string
	share int
}

// NewOwner returns an owner that takes the ownership of shares from tracker.
func NewOwner(opts Options, fleet Fleet, tracker *Tracker) *Owner {
	return &Owner{
		opts:    opts.withDefaults(),
		fleet:   fleet,
		tracker: tracker,
		shares:  make(map[shareKey]*ownedShare),
	}
}

// Grant answers a holder's request.
//
// Grant reads the clock first, then checks MayWork, and then loads the view.
// The view therefore includes every record appended until MaxViewAge before that
// clock reading. A later owner waits MaxViewAge after it applied the record
// that made it the owner, so it starts after any time at which this owner issues
// tokens, even if this process is paused between the steps.
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
	o.issue(&req, &resp, bucketParams{owner.Since, start, now, team.shareRate(), team.shareCapacity(own.ttl)})
	o.opts.step(GrantTaken)
	return resp
}

func (o *Owner) issue(req *GrantRequest, resp *GrantResponse, p bucketParams) {
	s := o.share(shareKey{req.Team, req.Share})
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.since.Before(s.since) {
		// This call was paused while the instance lost the share and got it back.
		resp.Refusal = NotOwner
		return
	}
	s.startOwnership(p)
	s.bucket.advance(p.now)
	s.bucket.configure(p.rate, p.size)
	s.applyReturns(req.Holder, req.Returns)
	if req.Want > 0 {
		resp.Tokens = s.issue(req, p.now)
	}
	s.sweep(p.now, grantRetentionTTLs*o.opts.GrantTTL)
	resp.TTLMS = o.opts.GrantTTL.Milliseconds()
	resp.Left = s.bucket.level
}

func (o *Owner) share(key shareKey) *ownedShare {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.shares[key]
	if !ok {
		s = &ownedShare{}
		o.shares[key] = s
	}
	return s
}

// Sweep removes the state of shares that this instance stopped owning more than
// grantRetentionTTLs x GrantTTL ago. It should be called periodically, for example
// once a minute. Without the delay, a call to Grant that was paused before the
// share moved would create a new state, whose bucket would be as full as if nothing
// had been issued since the takeover.
func (o *Owner) Sweep() {
	now := time.Now()
	own := o.tracker.At(o.fleet.View())
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, s := range o.shares {
		team := own.Team(key.team)
		if team != nil && key.share < len(team.Owners) && team.Owners[key.share].Incarnation == o.opts.Self {
			s.lostAt = time.Time{}
			continue
		}
		if s.lostAt.IsZero() {
			s.lostAt = now
		}
		if now.Sub(s.lostAt) > grantRetentionTTLs*o.opts.GrantTTL {
			delete(o.shares, key)
		}
	}
}
