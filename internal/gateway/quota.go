package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
)

// chargeQuota takes the request's tokens from the team's quota.
func (r *request) chargeQuota(ctx context.Context) *errkind.Error {
	if r.team == nil || r.team.Rate <= 0 {
		return nil
	}
	tokens := quotaCost(r.team, &r.attrs)
	d := r.takeTokens(ctx, tokenquota.NewRequest(admission.Ask{Tokens: tokens, Urgency: r.urgency()}))
	if d.NoHolderAnswered {
		return errkind.New(errkind.ViewStale, "no instance that holds the team's quota answered").WithRetryAfter(defaultRetryAfter)
	}
	if !d.Allowed {
		r.returnLoans(d.Loans)
		r.g.Logger.Info("team over its rate limit", r.requestIDField(), zap.String("team", r.team.Name), zap.Float64("tokens", tokens),
			zap.Float64("free", d.Free), zap.Float64("share", d.Share), zap.Int("lenders", len(d.Loans)), zap.Duration("wait", d.Wait), zap.Bool("unrecorded", d.Unrecorded))
		return errkind.New(errkind.OverRate, "the team is over its rate limit").WithRetryAfter(d.Wait)
	}
	r.chargedTokens, r.loans = tokens, d.Loans
	return nil
}

const (
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
