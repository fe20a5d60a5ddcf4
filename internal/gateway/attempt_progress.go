package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/speed"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// maxUncountedWrite is how long the caller may take for events before the time to the next
// ones counts as the caller's and not as the upstream's.
const maxUncountedWrite = 5 * time.Millisecond

// attemptProgress has the times of the last attempt, and what was expected of it.
type attemptProgress struct {
	sentAt   time.Time
	estimate speed.Estimate
	// headerAfter is the time from sentAt to the response header.
	headerAfter time.Duration
	// longestPause is the longest interval between events.
	longestPause time.Duration
}

// learnSpeed records the time to the response header.
func (r *request) learnSpeed(choice *upstream.Choice, ticket *upstream.Ticket, status int, a fleet.ResponseAttributes) {
	r.progress.headerAfter = time.Since(r.progress.sentAt)
	if ticket.LearnSpeed(status, a) {
		r.g.Logger.Warn("upstream states a load that cannot be decoded", r.requestIDField(), zap.String("upstream", choice.Upstream.ID), zap.String("load", a.InvalidLoad))
	}
	if total := r.progress.estimate.Total(); total > 0 && r.route.Kind == fleet.Streaming && !a.NotExecuted && status/100 == 2 {
		r.g.Stats.estimateRatio.Update(r.progress.headerAfter.Seconds() / total.Seconds())
	}
}

// eventsReceived records that n events of a stream arrived together.
func (r *request) eventsReceived(ticket *upstream.Ticket, n int) {
	if pause := ticket.EventsReceived(n, time.Now()); pause > 0 {
		r.g.Stats.eventPause.Update(pause.Seconds())
		r.progress.longestPause = max(r.progress.longestPause, pause)
	}
}

// fields describe the attempt's estimate and its times for the log.
func (p *attemptProgress) fields() []zap.Field {
	w := p.estimate.Work()
	return []zap.Field{
		zap.Duration("header_after", p.headerAfter), zap.Duration("estimate", p.estimate.Total()),
		zap.Int("uncached", w.Tokens), zap.Int("pending", w.PendingTokens), zap.Int("running", w.Running), zap.Int("queued", w.Queued),
		zap.Float64("upstream_factor", p.estimate.Upstream), zap.Float64("model_factor", p.estimate.Model), zap.Float64("work_time", p.estimate.Transient),
		zap.Duration("longest_pause", p.longestPause),
	}
}
