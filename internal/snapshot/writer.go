package snapshot

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

const (
	// CheckInterval is how often the writer checks whether a snapshot is due.
	CheckInterval = 10 * time.Second
	// RecordsPerSnapshot is the number of new records after which a snapshot is
	// due. At the target scale of less than one record per second, that is
	// about every half hour.
	RecordsPerSnapshot = 2000
	// RewriteInterval is the time after which a snapshot is written again
	// although there are no new records, because the log retains the snapshots
	// themselves for a limited time only.
	RewriteInterval = time.Hour
	// retainedDivisor: a snapshot is also due once 1/retainedDivisor of the
	// records that the log retains are newer than the last snapshot. This
	// matters for logs that retain few records.
	retainedDivisor = 2
	// chunksPerAppend is the number of chunks per append, about 700 KiB.
	chunksPerAppend = 8
	// checkTimeout is the deadline of one check, including its reads and appends.
	checkTimeout = 10 * time.Second
)

// Replica is the part of a replica that the writer uses.
type Replica interface {
	View() *controlstate.View
	MayWork() bool
}

// Writer writes snapshots while its instance is the designated writer, see
// isWriter.
type Writer struct {
	log       backing.Log
	replica   Replica
	self      *relay.Self
	collector *collector
	// lastWrite is when this instance last wrote a snapshot, initially the time
	// at which it started.
	lastWrite time.Time
}

// NewWriter returns a writer for an instance.
func NewWriter(log backing.Log, replica Replica, self *relay.Self) *Writer {
	return &Writer{log: log, replica: replica, self: self, collector: newCollector(), lastWrite: time.Now()}
}

// Run checks every CheckInterval until ctx is done, and reports errors. A
// failed write leaves an incomplete snapshot, which Newest skips; the next
// check retries it.
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

// Check writes a snapshot if one is due and this instance is the designated
// writer. Two instances may both consider themselves the writer while their
// views differ. They then write identical or independent snapshots, which is
// harmless.
func (w *Writer) Check(ctx context.Context) error {
	v := w.replica.View()
	if !w.replica.MayWork() || !isWriter(v, w.self) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := w.collector.readToEnd(ctx, w.log); err != nil {
		return err
	}
	due, err := w.due(ctx, v)
	if err != nil || !due {
		return err
	}
	return w.write(ctx, v)
}

// due decides from the offset of the last snapshot and the records that the log
// still retains whether to write a snapshot.
func (w *Writer) due(ctx context.Context, v *controlstate.View) (bool, error) {
	last := w.collector.newestOffset()
	if v.Offset <= last {
		return time.Since(w.lastWrite) >= RewriteInterval, nil
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
	retained := page.End - page.Oldest + 1
	return (v.Offset-last)*retainedDivisor >= retained, nil
}

func (w *Writer) write(ctx context.Context, v *controlstate.View) error {
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
	for start := 0; start < len(entries); start += chunksPerAppend {
		batch := entries[start:min(len(entries), start+chunksPerAppend)]
		if _, err := w.log.Append(ctx, Stream, batch); err != nil {
			return errors.Wrapf(err, "append snapshot of offset %d", v.Offset)
		}
	}
	w.lastWrite = time.Now()
	return nil
}

// isWriter reports whether self is the designated snapshot writer of the fleet:
// the member at position 0 of the relay tree of the first data centre, by name,
// that is in service and has members.
func isWriter(v *controlstate.View, self *relay.Self) bool {
	firstDC := ""
	for _, m := range v.Members.All() {
		dc, _ := v.DataCentres.Get(m.DataCentre)
		if dc.In() && (firstDC == "" || m.DataCentre < firstDC) {
			firstDC = m.DataCentre
		}
	}
	if firstDC != self.DataCentre {
		return false
	}
	p, ok := relay.NewTree(v, firstDC).Position(self.Instance, self.Incarnation())
	return ok && p == 0
}
