package node

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/place"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// auditEventBuffer is the buffer size of the subscription that feeds the audit
	// trail, in control records.
	auditEventBuffer = 1024
	// auditCarryInterval is the interval at which the carrier writes the audit
	// stream.
	auditCarryInterval = time.Minute
	// auditCarrierKey is the hash key that selects the entry instance that runs
	// the audit carrier.
	auditCarrierKey = "audit"
)

// auditSource gives the audit carrier the view and the audit trail of an entry
// instance.
type auditSource struct {
	fleet *fleet
	*audit.RecentEntries
}

var _ audit.Source = auditSource{}

// View implements audit.Source.
func (s auditSource) View() *fold.View { return s.fleet.View() }

// newAuditSource returns a source and a function that feeds its trail from the
// control stream until ctx ends. Call newAuditSource before the fleet starts,
// so that the subscription misses no record.
func newAuditSource(f *fleet) (auditSource, func(context.Context)) {
	s := auditSource{fleet: f, RecentEntries: audit.NewRecentEntries(0, audit.DefaultRecentEntries)}
	events, unsubscribe := f.Subscribe(auditEventBuffer)
	follow := func(ctx context.Context) {
		defer unsubscribe()
		for {
			select {
			case <-ctx.Done():
				return
			case e := <-events:
				if e.Restored {
					s.Reset(e.Offset)
					continue
				}
				s.observeEvent(e.Offset, e.Missed, func() { s.Observe(e.Offset, e.Envelope, e.Verdict) })
			}
		}
	}
	return s, follow
}

// observeEvent calls observe. If events before this one were dropped, it first
// clears the trail, because a trail with a gap must not be taken for complete.
func (s auditSource) observeEvent(offset platform.Offset, missed int, observe func()) {
	if missed > 0 {
		s.Reset(offset - 1)
	}
	observe()
}

// runCarrier copies the audit trail to the audit stream, so that entries
// outlive the log's retention, while this instance is the first in hash order.
func (s auditSource) runCarrier(ctx context.Context) {
	carrier := audit.NewArchiver(s.fleet.log, s, audit.ArchiverSettings{})
	carrier.Run(ctx, auditCarryInterval, s.isCarrier, func(err error) {
		s.fleet.logger.Warn("failed to write the audit trail to the audit stream", telemetry.Err(err))
	})
}

func (s auditSource) isCarrier() bool {
	m, ok := place.Leader(s.fleet.View(), auditCarrierKey)
	return ok && m.Ref() == s.fleet.Self() && s.fleet.MayWork()
}
