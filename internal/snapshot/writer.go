package snapshot

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

const (
	// CheckInterval is the interval at which the writer looks whether a snapshot
	// is due.
	CheckInterval = 10 * time.Second
	// RecordsPerSnapshot is the number of records after which a snapshot is due. At the
	// target scale of under one record a second that is every half hour.
	RecordsPerSnapshot = 2000
	// RewriteInterval is the longest time between snapshots, because the log keeps
	// the snapshots themselves for a limited time only.
	RewriteInterval = time.Hour
	// keepHalf makes a snapshot due once half of the kept records are newer
	// than the last one, for logs that keep few.
	keepHalf = 2
	// appendChunks is the number of chunks per append, about 700 KiB.
	appendChunks = 8
	// ioTimeout ends one read or append.
	ioTimeout = 10 * time.Second
)

// Replica is what the writer needs of a replica.
type Replica interface {
	View() *fold.View
	MayWork() bool
}

// Writer writes snapshots while its instance is the first in hash order.
type Writer struct {
	log     platform.Log
	replica Replica
	self    *relay.Self
	seen    *collector
	// written is when this instance last wrote, at first when it started.
	written time.Time
}

// NewWriter returns a writer for an instance.
func NewWriter(log platform.Log, replica Replica, self *relay.Self) *Writer {
	return &Writer{log: log, replica: replica, self: self, seen: newCollector(), written: time.Now()}
}

// Run writes snapshots until ctx is done. A failed write leaves an incomplete
// snapshot, which readers pass over, and is repeated at the next check.
func (w *Writer) Run(ctx context.Context, report func(error)) {
	for {
		timer := time.NewTimer(CheckInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if err := w.Check(ctx); err != nil && ctx.Err() == nil {
			report(err)
		}
	}
}

// Check writes a snapshot if this instance is the first in hash order and one
// is due. Two writers that both believe to be first write equal or
// independent snapshots; neither harms.
func (w *Writer) Check(ctx context.Context) error {
	v := w.replica.View()
	if !w.replica.MayWork() || !first(v, w.self) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	if err := w.seen.readOn(ctx, w.log); err != nil {
		return err
	}
	due, err := w.due(ctx, v)
	if err != nil || !due {
		return err
	}
	return w.write(ctx, v)
}

// due compares the last snapshot with the records that the log still keeps.
func (w *Writer) due(ctx context.Context, v *fold.View) (bool, error) {
	last := w.seen.newestOffset()
	if v.Offset <= last {
		return time.Since(w.written) >= RewriteInterval, nil
	}
	if last == 0 || v.Offset-last >= RecordsPerSnapshot {
		return true, nil
	}
	page, err := w.log.Read(ctx, record.ControlStream, v.Offset, 1, 0)
	if err != nil {
		return false, errors.Wrap(err, "read the end of the control stream")
	}
	if page.Oldest <= 1 {
		return false, nil
	}
	kept := page.End - page.Oldest + 1
	return (v.Offset-last)*keepHalf >= kept, nil
}

func (w *Writer) write(ctx context.Context, v *fold.View) error {
	chunks, err := v.Snapshot()
	if err != nil {
		return err
	}
	entries := make([]json.RawMessage, len(chunks))
	for i, c := range chunks {
		if entries[i], err = json.Marshal(c); err != nil {
			return errors.Wrap(err, "encode chunk")
		}
	}
	for start := 0; start < len(entries); start += appendChunks {
		part := entries[start:min(len(entries), start+appendChunks)]
		if _, err := w.log.Append(ctx, Stream, part); err != nil {
			return errors.Wrapf(err, "append snapshot of offset %d", v.Offset)
		}
	}
	w.written = time.Now()
	return nil
}

// first reports whether self is the first member of its fleet: position 0 of
// the first data centre, in the order of names, that is in and has members.
func first(v *fold.View, self *relay.Self) bool {
	chosen := ""
	for _, m := range v.Members.All() {
		dc, _ := v.DataCentres.Get(m.DataCentre)
		if dc.In() && (chosen == "" || m.DataCentre < chosen) {
			chosen = m.DataCentre
		}
	}
	if chosen != self.DataCentre {
		return false
	}
	p, ok := relay.NewTree(v, chosen).Position(self.Instance, self.Incarnation())
	return ok && p == 0
}
