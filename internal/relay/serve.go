package relay

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// Pull implements Peer for children.
func (r *Relay) Pull(ctx context.Context, q PullRequest) (PullAnswer, error) {
	r.note(q.Sender)
	began := r.cfg.Tracker.Now()
	wait := min(q.Wait, PullWait)
	for {
		changed := r.changed.wait()
		answer := r.answer(q, began)
		if answer.Held >= wait || worthwhile(q, answer) {
			return answer, nil
		}
		pause(ctx, wait-answer.Held, changed)
		if err := ctx.Err(); err != nil {
			return PullAnswer{}, err
		}
	}
}

// answer reads the ages before the records: the ages then hold for the
// records, even if more arrive in between.
func (r *Relay) answer(q PullRequest, began freshness.MonoTime) PullAnswer {
	t := r.cfg.Tracker
	answer := PullAnswer{Held: began.AgeAt(t.Now())}
	answer.ViewAge = t.ViewAge()
	answer.OutageAge = t.OutageAge()
	answer.Records, answer.Offset, answer.Expired = r.after(q.From)
	return answer
}

func (r *Relay) after(from platform.Offset) ([]platform.Record, platform.Offset, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.offset()
	records, kept := r.buffer.after(from, own, r.cfg.AnswerRecords)
	return records, own, !kept
}

// worthwhile reports whether the answer tells the child something now.
func worthwhile(q PullRequest, a PullAnswer) bool {
	if len(a.Records) > 0 || a.Expired {
		return true
	}
	gain := q.Age + a.Held - min(a.ViewAge, a.OutageAge)
	return a.Offset >= q.From && gain >= RefreshGain
}

// Contact implements Peer for readers and for members that probe this one.
func (r *Relay) Contact(_ context.Context, q ContactRequest) (ContactAnswer, error) {
	r.note(q.Sender)
	t := r.cfg.Tracker
	return ContactAnswer{
		Instance:    r.cfg.Self.Instance,
		Incarnation: r.cfg.Self.Incarnation(),
		Offset:      r.Known(),
		Reader:      r.isReader(),
		LogAge:      t.LogAge(),
		LogFails:    r.health.Failing(),
		ViewAge:     t.ViewAge(),
	}, nil
}

// Snapshot implements Peer for instances that are behind the buffer. The
// encoding is kept while the buffer still continues it, because instances that
// restart together ask together.
func (r *Relay) Snapshot(_ context.Context, q SnapshotRequest) (SnapshotAnswer, error) {
	r.note(q.Sender)
	if kept := r.cached.Load(); kept != nil && kept.Offset > q.From && r.continues(kept.Offset) {
		return *kept, nil
	}
	made, err, _ := r.encode.Do("snapshot", func() (any, error) {
		v := r.cfg.Sink.View()
		chunks, err := v.Snapshot()
		if err != nil {
			return SnapshotAnswer{}, err
		}
		answer := SnapshotAnswer{Offset: v.Offset, Chunks: chunks}
		r.cached.Store(&answer)
		return answer, nil
	})
	return made.(SnapshotAnswer), err
}

func (r *Relay) continues(offset platform.Offset) bool {
	_, _, expired := r.after(offset)
	return !expired
}

func (r *Relay) note(s Sender) {
	r.heard.note(s.Instance, s.Incarnation)
	r.learn(s.Offset)
}

func (r *Relay) isReader() bool {
	p, ok := r.position()
	return ok && p < Readers
}

// position returns the own position, and false before the join is folded.
func (r *Relay) position() (int, bool) {
	return r.Order(r.cfg.Self.DataCentre).Position(r.cfg.Self.Instance, r.cfg.Self.Incarnation())
}

// logFails reports whether the log has not answered this reader for two polls.
func (r *Relay) logFails() bool {
	return r.cfg.Tracker.LogAge() > 2*LogPollWait+time.Second/2
}
