package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
)

// chargeQuota takes the request's tokens from the team's quota. If a holder of the quota books
// tokens for it that come in time, it waits for them.
func (r *request) chargeQuota(ctx context.Context) *errkind.Error {
	if r.team == nil || r.team.Rate <= 0 {
		return nil
	}
	q := tokenquota.NewRequest(r.quotaAsk())
	d := r.takeTokens(ctx, q)
	promised := d.Promised
	for waits := 0; waits < maxQuotaWaits && r.mayWait(d); waits++ {
		r.returnLoans(d.Loans)
		d.Loans = nil
		began := time.Now()
		ended := r.waitForTokens(ctx, q.Ask, d.Wait)
		r.quotaWait += time.Since(began)
		d.Wait = max(0, d.Wait-time.Since(began))
		if r.g.exiting.Err() != nil {
			return errkind.New(errkind.Draining, reasonExiting).WithRetryAfter(drainingRetryAfter)
		}
		if ctx.Err() != nil {
			r.cancelBooking(q.Ask, d)
		}
		if !ended {
			break
		}
		q = tokenquota.NewRequest(r.quotaAsk())
		q.Counted = true
		d = r.takeTokens(ctx, q)
	}
	r.logPromise(d.Allowed, promised)
	if d.NoHolderAnswered {
		return errkind.New(errkind.ViewStale, "no instance that holds the team's quota answered").WithRetryAfter(defaultRetryAfter)
	}
	if !d.Allowed {
		r.returnLoans(d.Loans)
		r.g.Logger.Info("team over its rate limit", r.requestIDField(), zap.String("team", r.team.Name), zap.Float64("tokens", q.Tokens),
			zap.Float64("free", d.Free), zap.Float64("share", d.Share), zap.Int("lenders", len(d.Loans)), zap.Duration("wait", d.Wait), zap.Bool("unrecorded", d.Unrecorded),
			zap.Duration("retry_after", d.Wait), zap.Bool("booked", d.Booked), zap.Duration("waited", r.quotaWait))
		return errkind.New(errkind.OverRate, "the team is over its rate limit").WithRetryAfter(d.Wait)
	}
	r.chargedTokens, r.loans = q.Tokens, d.Loans
	return nil
}

// quotaAsk returns what the request asks of its team's quota.
func (r *request) quotaAsk() admission.Ask {
	caller, now := r.quotaCaller(), time.Now()
	return admission.Ask{
		Tokens: quotaCost(r.team, &r.attrs), Urgency: r.urgency(), Digest: r.identity().Hash(),
		Longest: caller.Longest(now), Returns: caller.Returns(now),
	}
}

// quotaCaller describes the caller to package admission.
func (r *request) quotaCaller() admission.Caller {
	return admission.Caller{Start: r.start, Deadline: r.deadline, Objective: r.route.Objective}
}

// mayWait reports whether the request waits here for what the decision promises.
func (r *request) mayWait(d tokenquota.Decision) bool {
	return !d.Allowed && d.Booked && r.quotaCaller().MayWait(time.Now(), d.Wait)
}

// waitForTokens waits for d, and reports whether the time has passed. It ends early if the caller
// leaves, the instance is about to exit, or more urgent requests need the place.
func (r *request) waitForTokens(ctx context.Context, a admission.Ask, d time.Duration) bool {
	// The body is held twice: the server keeps its buffer until the response.
	const copies = 2
	w := &admission.Waiting{
		Urgency: a.Urgency, ObjectiveEnd: r.start.Add(r.route.Objective), Tokens: a.Tokens,
		Bytes: copies * int64(len(r.body)), Evicted: make(chan struct{}),
	}
	if !r.g.waiting.add(w) {
		return false
	}
	defer r.g.waiting.remove(w)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-r.g.exiting.Done():
	case <-w.Evicted:
	}
	return false
}

// cancelBooking lets others have the tokens that are booked for a request whose caller has left.
func (r *request) cancelBooking(a admission.Ask, d tokenquota.Decision) {
	g, team := r.g, r.team.Name
	background.Go(g.Logger, "cancel booking", func() {
		ctx, cancel := context.WithTimeout(context.Background(), refundTimeout)
		defer cancel()
		g.Quota.CancelBooking(ctx, team, a, d)
	})
}

// logPromise tells what became of a caller that had been refused before.
func (r *request) logPromise(admitted bool, p tokenquota.Promised) {
	if !p.Known {
		return
	}
	if !admitted {
		r.g.Stats.refusedAgain.Inc()
	}
	r.g.Logger.Info("refused request came back", r.requestIDField(), zap.String("team", r.team.Name),
		zap.Duration("late", p.Late), zap.Bool("promised", p.Kept), zap.Bool("kept", admitted))
}

const (
	// maxQuotaWaits bounds how often a request waits for tokens. It finds them after the first
	// time unless the holder of its booking is lost.
	maxQuotaWaits = 2
	// quotaRetryShare is the largest share of its remaining time that a request
	// spends on retries while no instance that holds its team's quota answers.
	quotaRetryShare    = 0.2
	quotaRetryInterval = 60 * time.Millisecond
)

// takeTokens takes tokens from the team's quota. If no instance that holds the
// quota answers, it retries for a while, since several instances may be starting.
func (r *request) takeTokens(ctx context.Context, q tokenquota.Request) tokenquota.Decision {
	end := time.Now().Add(time.Duration(quotaRetryShare * float64(r.remaining())))
	for {
		d := r.g.Quota.Admit(ctx, r.team.Name, q)
		if !d.NoHolderAnswered || !time.Now().Before(end) {
			return d
		}
		t := time.NewTimer(quotaRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return d
		case <-t.C:
		}
	}
}

// quotaCost returns how much a request counts against its team's quota.
func quotaCost(t *fleet.Team, a *fleet.RequestAttributes) float64 {
	switch {
	case t.CountsRequests:
		return 1
	case a.HasTokenCounts:
		return float64(a.TokensIn + a.TokensOut)
	default:
		return t.DefaultTokens
	}
}
