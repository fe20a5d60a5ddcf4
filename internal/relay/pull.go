package relay

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// pullLoop pulls from the best usable source. A reader pulls only while the log
// does not answer it, because the log may still answer other readers if F6
// affects only this one.
func (r *Relay) pullLoop(ctx context.Context) {
	current := 0
	var changedAt freshness.MonoTime
	for ctx.Err() == nil {
		sources := r.sources()
		if len(sources) == 0 || (r.isReader() && !r.logUnresponsive()) {
			r.readDirectly.Store(len(sources) == 0)
			pause(ctx, idleCheckInterval, nil)
			continue
		}
		now := r.cfg.Tracker.Now()
		if current >= len(sources) || changedAt.AgeAt(now) > ParentRetryInterval {
			current, changedAt = 0, now
		}
		if r.pullOnce(ctx, sources[current], PullWait) {
			r.readDirectly.Store(false)
			continue
		}
		current++
		changedAt = now
		if current == len(sources) {
			// No peer is usable; read the log directly as a last resort.
			r.readDirectly.Store(true)
			current = 0
		}
		pause(ctx, r.jitter(idleCheckInterval), nil)
	}
}

// sources returns the addresses to pull from, in order of preference. An
// instance whose join is not in the view yet uses its seeds.
func (r *Relay) sources() []string {
	p, joined := r.position()
	if !joined {
		return r.joiningSources()
	}
	tree := r.Tree(r.cfg.Self.DataCentre)
	if p < ReadersPerDataCentre {
		return r.addresses(r.topo.readers(r.cfg.Self.DataCentre))
	}
	members := make([]controlstate.Member, 0, 2*ReadersPerDataCentre)
	for _, q := range tree.Sources(p) {
		members = append(members, tree.At(q))
	}
	return r.addresses(members)
}

// joiningSources returns the seeds and the readers in the current view. A
// process that rejoins with a new incarnation still has readers in its view.
func (r *Relay) joiningSources() []string {
	all := slices.Clone(r.cfg.Seeds)
	for _, a := range r.addresses(r.topo.readers(r.cfg.Self.DataCentre)) {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

func (r *Relay) addresses(members []controlstate.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		if m.Instance != r.cfg.Self.Instance && m.PeerAddr != "" {
			out = append(out, m.PeerAddr)
		}
	}
	return out
}

// pullOnce sends one pull to addr and reports whether to keep using this
// source.
func (r *Relay) pullOnce(ctx context.Context, addr string, wait time.Duration) bool {
	pullCtx, cancel := context.WithTimeout(ctx, ParentTimeout)
	defer cancel()
	t := r.cfg.Tracker
	known := r.KnownOffset()
	sent := t.Now()
	req := PullRequest{Sender: r.sender(), From: r.offset(), Wait: wait, Age: t.Age()}
	resp, err := r.cfg.Dialer.Peer(addr).Pull(pullCtx, req)
	if err != nil {
		return false
	}
	if resp.Expired {
		return r.fetchSnapshot(ctx, addr)
	}
	times := r.localTimesOf(resp, sent)
	usable := r.usable(resp, known, times)
	r.applyResponse(resp, times)
	return usable && t.MayWork()
}

// localTimes are the ages of a response, converted to times on the clock of this
// instance: when the parent's view was last known to be complete, and when the
// log was last known to be down for all instances.
type localTimes struct {
	completeAt freshness.MonoTime
	outageAt   freshness.MonoTime
}

// localTimesOf converts the parent's ages and adds the transit time to them. The
// parent measures its ages after it has held the request, so the hold time is
// not transit.
func (r *Relay) localTimesOf(resp PullResponse, sent freshness.MonoTime) localTimes {
	now := r.cfg.Tracker.Now()
	transit := max(0, sent.AgeAt(now)-resp.Held)
	if r.cfg.Disabled.AgeInTransit {
		transit = 0
	}
	return localTimes{
		completeAt: now.Minus(resp.ViewAge).Minus(transit),
		outageAt:   now.Minus(resp.OutageAge).Minus(transit),
	}
}

// usable reports whether to keep pulling from the parent that sent resp. It is
// called before resp is applied. The parent must not be behind the highest
// offset known when the request was sent, nor behind this view, and its age
// must not exceed this instance's age by more than parentAgeTolerance.
func (r *Relay) usable(resp PullResponse, known backing.Offset, times localTimes) bool {
	if resp.Offset < known || resp.Offset < r.offset() {
		return false
	}
	age := max(times.completeAt, times.outageAt).AgeAt(r.cfg.Tracker.Now())
	return age <= r.cfg.Tracker.Age()+parentAgeTolerance
}

// applyResponse folds the records and then updates the ages. It adopts the
// outage age only if the view includes every known offset.
func (r *Relay) applyResponse(resp PullResponse, times localTimes) {
	r.observeOffset(resp.Offset)
	r.ingest(resp.Records)
	if !r.reached(resp.Offset) {
		return
	}
	r.cfg.Tracker.RecordComplete(times.completeAt)
	if r.reached(r.KnownOffset()) {
		r.cfg.Tracker.RecordOutage(times.outageAt)
	}
	r.changed.broadcast()
}

// fetchSnapshot replaces the view by a peer's if that one is newer. A snapshot
// carries no age; the next pull provides it.
func (r *Relay) fetchSnapshot(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, SnapshotTimeout)
	defer cancel()
	resp, err := r.cfg.Dialer.Peer(addr).Snapshot(ctx, SnapshotRequest{Sender: r.sender(), From: r.offset()})
	if err != nil {
		return false
	}
	v, err := controlstate.Restore(resp.Chunks)
	return err == nil && r.restore(v)
}

// remaining returns the time left of an interval that began at m.
func (r *Relay) remaining(m freshness.MonoTime, interval time.Duration) time.Duration {
	return max(0, interval-m.AgeAt(r.cfg.Tracker.Now()))
}
