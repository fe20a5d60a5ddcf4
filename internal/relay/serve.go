package relay

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// Pull implements Peer for children. It holds the request until there is
// something to send or the wait time has passed.
func (r *Relay) Pull(ctx context.Context, req PullRequest) (PullResponse, error) {
	r.recordSender(req.Sender)
	began := r.cfg.Tracker.Now()
	wait := min(req.Wait, PullWait)
	for {
		changed := r.changed.channel()
		resp := r.buildResponse(req, began)
		if resp.Held >= wait || hasUpdate(req, resp) {
			return resp, nil
		}
		pause(ctx, wait-resp.Held, changed)
		if err := ctx.Err(); err != nil {
			return PullResponse{}, err
		}
	}
}

// buildResponse reads the ages before the records. A record that arrives in
// between only makes the view more recent than the ages say, so they are never
// too low.
func (r *Relay) buildResponse(req PullRequest, began freshness.MonoTime) PullResponse {
	t := r.cfg.Tracker
	resp := PullResponse{Held: began.AgeAt(t.Now())}
	resp.ViewAge = t.ViewAge()
	resp.OutageAge = t.OutageAge()
	resp.Records, resp.Offset, resp.Expired = r.recordsAfter(req.From)
	return resp
}

func (r *Relay) recordsAfter(from backing.Offset) ([]backing.Record, backing.Offset, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.offset()
	records, kept := r.buffer.after(from, newest, r.cfg.ResponseRecords)
	return records, newest, !kept
}

// hasUpdate reports whether resp is worth sending now: it has records, requires
// a snapshot, or has an age that is lower by at least MinAgeImprovement.
func hasUpdate(req PullRequest, resp PullResponse) bool {
	if len(resp.Records) > 0 || resp.Expired {
		return true
	}
	gain := req.Age + resp.Held - min(resp.ViewAge, resp.OutageAge)
	return resp.Offset >= req.From && gain >= MinAgeImprovement
}

// Status implements Peer for other readers and for members that probe this one.
func (r *Relay) Status(_ context.Context, req StatusRequest) (StatusResponse, error) {
	r.recordSender(req.Sender)
	t := r.cfg.Tracker
	return StatusResponse{
		Instance:    r.cfg.Self.Instance,
		Incarnation: r.cfg.Self.Incarnation(),
		Offset:      r.KnownOffset(),
		Reader:      r.isReader(),
		LogAge:      t.LogAge(),
		LogFails:    r.health.Failing(),
		ViewAge:     t.ViewAge(),
	}, nil
}

// Snapshot implements Peer for instances that need records older than the
// buffer. It caches the encoded view for as long as the buffer holds all
// records after it, because instances that restart together request it
// together.
func (r *Relay) Snapshot(_ context.Context, req SnapshotRequest) (SnapshotResponse, error) {
	r.recordSender(req.Sender)
	if cached := r.cachedSnapshot.Load(); cached != nil && cached.Offset > req.From && r.bufferCovers(cached.Offset) {
		return *cached, nil
	}
	encoded, err, _ := r.snapshotGroup.Do("snapshot", func() (any, error) {
		v := r.cfg.Sink.View()
		chunks, err := v.Snapshot()
		if err != nil {
			return SnapshotResponse{}, err
		}
		resp := SnapshotResponse{Offset: v.Offset, Chunks: chunks}
		r.cachedSnapshot.Store(&resp)
		return resp, nil
	})
	return encoded.(SnapshotResponse), err
}

// bufferCovers reports whether the buffer holds all records after offset.
func (r *Relay) bufferCovers(offset backing.Offset) bool {
	_, _, expired := r.recordsAfter(offset)
	return !expired
}

func (r *Relay) recordSender(s Sender) {
	r.lastSeen.record(s.Instance, s.Incarnation)
	r.observeOffset(s.Offset)
}

func (r *Relay) isReader() bool {
	p, ok := r.position()
	return ok && p < ReadersPerDataCentre
}

// position returns the position of this instance in its tree, and false while
// its join is not in the view.
func (r *Relay) position() (int, bool) {
	return r.Tree(r.cfg.Self.DataCentre).Position(r.cfg.Self.Instance, r.cfg.Self.Incarnation())
}

// logUnresponsive reports whether the log has not answered this reader for the
// time of two polls and a margin of 500 ms.
func (r *Relay) logUnresponsive() bool {
	return r.cfg.Tracker.LogAge() > 2*LogPollWait+time.Second/2
}
