package node

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/assignment"
	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// auditEventBuffer is the buffer size of the subscription that feeds the audit
	// trail, in control records.
	auditEventBuffer = 1024
	// auditArchiveInterval is the interval at which the archiver writes to the
	// audit stream.
	auditArchiveInterval = time.Minute
	// auditArchiverTask is the task name by which assignment.Leader selects the entry
	// instance that runs the audit archiver.
	auditArchiverTask = "audit"
)

// auditSource provides the audit archiver with the view and the recent audit
// entries of an entry instance.
type auditSource struct {
	fleet *fleet
	*audit.RecentEntries
}

var _ audit.Source = auditSource{}

// View implements audit.Source.
func (s auditSource) View() *controlstate.View { return s.fleet.View() }

// newAuditSource returns a source and a function that adds entries to it from
// the control stream until ctx ends. Call newAuditSource before the fleet
// starts, so that the subscription misses no record.
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
// discards the recent entries, because entries with a gap must not be mistaken
// for complete ones.
func (s auditSource) observeEvent(offset backing.Offset, missed int, observe func()) {
	if missed > 0 {
		s.Reset(offset - 1)
	}
	observe()
}

// runArchiver copies the audit trail to the audit stream, so that entries
// outlive the log's retention, while this instance is the leader for that task.
func (s auditSource) runArchiver(ctx context.Context) {
	archiver := audit.NewArchiver(s.fleet.log, s, audit.ArchiverSettings{})
	archiver.Run(ctx, auditArchiveInterval, s.isArchiver, func(err error) {
		s.fleet.logger.Warn("failed to write the audit trail to the audit stream", telemetry.Err(err))
	})
}

func (s auditSource) isArchiver() bool {
	m, ok := assignment.Leader(s.fleet.View(), auditArchiverTask)
	return ok && m.Ref() == s.fleet.Self() && s.fleet.MayWork()
}
