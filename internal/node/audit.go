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
	// auditEvents is the room for control records that the trail has not taken yet.
	auditEvents = 1024
	// carryEvery is the interval at which the audit trail is carried forward.
	carryEvery = time.Minute
	// auditDuty names the carrier in the hash order of entry instances.
	auditDuty = "audit"
)

// auditSource joins the view and the trail of an entry instance.
type auditSource struct {
	fleet *fleet
	*audit.Trail
}

var _ audit.Source = auditSource{}

// View implements audit.Source.
func (s auditSource) View() *fold.View { return s.fleet.View() }

// newAuditSource returns a source whose trail follows the control stream until
// ctx ends. Call it before the fleet starts, so that no record is missed.
func newAuditSource(f *fleet) (auditSource, func(context.Context)) {
	s := auditSource{fleet: f, Trail: audit.NewTrail(0, audit.DefaultTrailEntries)}
	events, end := f.Subscribe(auditEvents)
	follow := func(ctx context.Context) {
		defer end()
		for {
			select {
			case <-ctx.Done():
				return
			case e := <-events:
				if e.Restored {
					s.Restart(e.Offset)
					continue
				}
				s.observe(e.Offset, e.Missed, func() { s.Observe(e.Offset, e.Envelope, e.Verdict) })
			}
		}
	}
	return s, follow
}

// observe forgets what came before a gap, because the trail must not pass for
// complete.
func (s auditSource) observe(offset platform.Offset, missed int, add func()) {
	if missed > 0 {
		s.Restart(offset - 1)
	}
	add()
}

// carry keeps the audit trail beyond the log's retention while this instance
// is the first in hash order.
func (s auditSource) carry(ctx context.Context) {
	carrier := audit.NewCarrier(s.fleet.log, s, audit.CarrierSettings{})
	carrier.Run(ctx, carryEvery, s.first, func(err error) {
		s.fleet.logger.Warn("audit trail not carried forward", telemetry.Err(err))
	})
}

func (s auditSource) first() bool {
	m, ok := place.Leader(s.fleet.View(), auditDuty)
	return ok && m.Ref() == s.fleet.Self() && s.fleet.MayWork()
}
