package relay

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// pullLoop follows the best usable source. A reader pulls only while the log
// fails for it, because others may still be served (F6 for one reader).
func (r *Relay) pullLoop(ctx context.Context) {
	current := 0
	var changedAt freshness.MonoTime
	for ctx.Err() == nil {
		sources := r.sources()
		if len(sources) == 0 || (r.isReader() && !r.logFails()) {
			r.direct.Store(len(sources) == 0)
			pause(ctx, idleCheck, nil)
			continue
		}
		now := r.cfg.Tracker.Now()
		if current >= len(sources) || changedAt.AgeAt(now) > ParentRetry {
			current, changedAt = 0, now
		}
		if r.pullOnce(ctx, sources[current], PullWait) {
			r.direct.Store(false)
			continue
		}
		current++
		changedAt = now
		if current == len(sources) {
			// No peer is of use: the log itself is the last resort.
			r.direct.Store(true)
			current = 0
		}
		pause(ctx, r.jitter(idleCheck), nil)
	}
}

// sources returns the addresses to pull from, best first. An instance whose
// join is not folded yet uses its seeds.
func (r *Relay) sources() []string {
	p, joined := r.position()
	if !joined {
		return r.joiningSources()
	}
	own := r.Order(r.cfg.Self.DataCentre)
	if p < Readers {
		return r.addresses(r.topo.readers(r.cfg.Self.DataCentre))
	}
	members := make([]fold.Member, 0, 2*Readers)
	for _, q := range own.Sources(p) {
		members = append(members, own.At(q))
	}
	return r.addresses(members)
}

// joiningSources spreads joining instances over the seeds and over the
// readers that an earlier incarnation of this process knew.
func (r *Relay) joiningSources() []string {
	all := slices.Clone(r.cfg.Seeds)
	for _, a := range r.addresses(r.topo.readers(r.cfg.Self.DataCentre)) {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

func (r *Relay) addresses(members []fold.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		if m.Instance != r.cfg.Self.Instance && m.PeerAddr != "" {
			out = append(out, m.PeerAddr)
		}
	}
	return out
}

// pullOnce sends one pull and reports whether the source stays usable.
func (r *Relay) pullOnce(ctx context.Context, addr string, wait time.Duration) bool {
	pullCtx, cancel := context.WithTimeout(ctx, ParentSilence)
	defer cancel()
	t := r.cfg.Tracker
	known := r.Known()
	sent := t.Now()
	q := PullRequest{Sender: r.sender(), From: r.offset(), Wait: wait, Age: t.Age()}
	answer, err := r.cfg.Dialer.Peer(addr).Pull(pullCtx, q)
	if err != nil {
		return false
	}
	if answer.Expired {
		return r.fetchSnapshot(ctx, addr)
	}
	ages := r.agesOf(answer, sent)
	usable := r.usable(answer, known, ages)
	r.take(answer, ages)
	return usable && t.MayWork()
}

// pulledAges are the marks that an answer gives to the child's own clock.
type pulledAges struct {
	complete freshness.MonoTime
	outage   freshness.MonoTime
}

// agesOf adds the child's waiting time to the parent's ages. The time that the
// parent held the request lies before its ages and is subtracted.
func (r *Relay) agesOf(a PullAnswer, sent freshness.MonoTime) pulledAges {
	now := r.cfg.Tracker.Now()
	transit := max(0, sent.AgeAt(now)-a.Held)
	if r.cfg.Off.AgeInTransit {
		transit = 0
	}
	return pulledAges{
		complete: now.Minus(a.ViewAge).Minus(transit),
		outage:   now.Minus(a.OutageAge).Minus(transit),
	}
}

// usable judges a parent before its answer is taken: not behind an offset
// known when the request was sent, and not older than the own view.
func (r *Relay) usable(a PullAnswer, known platform.Offset, ages pulledAges) bool {
	if a.Offset < known || a.Offset < r.offset() {
		return false
	}
	age := max(ages.complete, ages.outage).AgeAt(r.cfg.Tracker.Now())
	return age <= r.cfg.Tracker.Age()+olderSlack
}

// take folds the records and then adopts the ages. A confirmed outage counts
// only for a view that holds every offset heard of.
func (r *Relay) take(a PullAnswer, ages pulledAges) {
	r.learn(a.Offset)
	r.ingest(a.Records)
	if !r.reached(a.Offset) {
		return
	}
	r.cfg.Tracker.RecordComplete(ages.complete)
	if r.reached(r.Known()) {
		r.cfg.Tracker.RecordOutage(ages.outage)
	}
	r.changed.broadcast()
}

// fetchSnapshot replaces the view by a peer's if that one is newer. It carries
// no age: the next pull does.
func (r *Relay) fetchSnapshot(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, SnapshotTimeout)
	defer cancel()
	answer, err := r.cfg.Dialer.Peer(addr).Snapshot(ctx, SnapshotRequest{Sender: r.sender(), From: r.offset()})
	if err != nil {
		return false
	}
	v, err := fold.Restore(answer.Chunks)
	return err == nil && r.restore(v)
}

// waitFor is the pause that completes an interval which began at m.
func (r *Relay) waitFor(m freshness.MonoTime, interval time.Duration) time.Duration {
	return max(0, interval-m.AgeAt(r.cfg.Tracker.Now()))
}
