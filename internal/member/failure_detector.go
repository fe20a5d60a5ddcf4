package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// failureDetector removes members that have been silent too long. Each member
// is watched by its relay parent. Readers have no parent; they are watched by
// the other readers of their data centre and by the readers of the previous
// data centre by name.
type failureDetector struct {
	cfg     Config
	list    *instanceListCache
	orphans *orphans
	mu      sync.Mutex
	watched map[string]*watchedMember
	wg      sync.WaitGroup
}

func newFailureDetector(cfg Config) *failureDetector {
	l := &instanceListCache{list: cfg.List}
	return &failureDetector{
		cfg:     cfg,
		list:    l,
		orphans: newOrphans(cfg.Self, l),
		watched: make(map[string]*watchedMember),
	}
}

func (d *failureDetector) run(ctx context.Context) {
	defer d.wg.Wait()
	last := time.Now()
	for {
		wait(ctx, CheckInterval, nil)
		if ctx.Err() != nil {
			return
		}
		if time.Since(last) > pauseThreshold {
			d.resetTimers()
		}
		last = time.Now()
		d.check(ctx)
	}
}

// resetTimers restarts the timeouts of all members after this process was
// paused (F8).
func (d *failureDetector) resetTimers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.watched)
	d.orphans.reset()
}

func (d *failureDetector) check(ctx context.Context) {
	targets := d.targets()
	d.pruneWatched(targets)
	if !d.cfg.Replica.MayDecide() {
		return
	}
	anySilent := false
	for _, m := range targets {
		silence := d.silentFor(m)
		if silence >= ProbeAfter {
			d.probe(ctx, m)
		}
		anySilent = anySilent || silence >= UnlistedTimeout
	}
	v := d.cfg.Replica.View()
	tracked := d.orphans.update(v, d.cfg.Relay.Tree(d.cfg.Self.DataCentre))
	if anySilent || tracked {
		d.list.refresh(ctx)
	}
	for _, m := range targets {
		d.removeIfSilent(ctx, m)
	}
	for _, gone := range d.orphans.expired() {
		d.appendGone(ctx, gone, func() {})
	}
}

// targets returns the members that this instance watches.
func (d *failureDetector) targets() []controlstate.Member {
	self := d.cfg.Self
	tree := d.cfg.Relay.Tree(self.DataCentre)
	p, live := tree.Position(self.Instance, self.Incarnation())
	if !live {
		return nil
	}
	var targets []controlstate.Member
	for _, q := range tree.Children(p) {
		targets = append(targets, tree.At(q))
	}
	if p >= relay.ReadersPerDataCentre {
		return targets
	}
	for q, m := range tree.Readers() {
		if q != p {
			targets = append(targets, m)
		}
	}
	return append(targets, d.remoteTargets()...)
}

// remoteTargets returns the readers of the next data centre by name. Once all
// of these are silent, it returns the first maxRemoteWatched members, so that a
// data centre that is lost as a whole is removed in batches.
func (d *failureDetector) remoteTargets() []controlstate.Member {
	next := nextDataCentre(d.cfg.Replica.View(), d.cfg.Self.DataCentre)
	if next == "" {
		return nil
	}
	tree := d.cfg.Relay.Tree(next)
	readers := tree.Readers()
	if !d.allSilent(readers) {
		return slices.Clone(readers)
	}
	var targets []controlstate.Member
	for p := range min(maxRemoteWatched, tree.Len()) {
		targets = append(targets, tree.At(p))
	}
	return targets
}

// nextDataCentre returns the data centre that follows localDC by name, or the
// first one if localDC is the last, or "" if there is no other.
func nextDataCentre(v *controlstate.View, localDC string) string {
	first, next := "", ""
	for _, m := range v.Members.All() {
		dc := m.DataCentre
		if dc != localDC && (first == "" || dc < first) {
			first = dc
		}
		if dc > localDC && (next == "" || dc < next) {
			next = dc
		}
	}
	if next == "" {
		return first
	}
	return next
}

func (d *failureDetector) allSilent(members []controlstate.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		w, ok := d.watched[m.Instance]
		if !ok || w.incarnation != m.Incarnation || time.Since(w.lastAlive) < ProbeAfter+probeTimeout {
			return false
		}
	}
	return true
}

func (d *failureDetector) pruneWatched(targets []controlstate.Member) {
	keep := make(map[string]bool, len(targets))
	for _, m := range targets {
		keep[m.Instance] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for instance := range d.watched {
		if !keep[instance] {
			delete(d.watched, instance)
		}
	}
}

// silentFor updates the liveness state of the member and returns how long it
// has been silent.
func (d *failureDetector) silentFor(m controlstate.Member) time.Duration {
	sinceMessage := d.cfg.Relay.TimeSinceLastMessage(m)
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.watched[m.Instance]
	if !ok || w.incarnation != m.Incarnation {
		w = &watchedMember{incarnation: m.Incarnation, lastAlive: time.Now()}
		d.watched[m.Instance] = w
	}
	if elapsed := time.Since(w.lastAlive); sinceMessage >= elapsed {
		return elapsed
	}
	w.lastAlive = time.Now().Add(-sinceMessage)
	return sinceMessage
}

// probe requests the status of the member, one probe at a time. A response with
// another incarnation does not count as a sign of life, because the watched
// incarnation has ended.
func (d *failureDetector) probe(ctx context.Context, m controlstate.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.watched[m.Instance]
	if w.probing {
		return
	}
	w.probing = true
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		resp, err := d.cfg.Dialer.Peer(m.PeerAddr).Status(ctx, relay.StatusRequest{Sender: d.sender()})
		d.mu.Lock()
		defer d.mu.Unlock()
		w.probing = false
		if err == nil && resp.Instance == m.Instance && resp.Incarnation == m.Incarnation {
			w.lastAlive = time.Now()
		}
	})
}

func (d *failureDetector) sender() relay.Sender {
	return relay.Sender{
		Instance:    d.cfg.Self.Instance,
		Incarnation: d.cfg.Self.Incarnation(),
		Offset:      d.cfg.Replica.View().Offset,
	}
}

func (d *failureDetector) removeIfSilent(ctx context.Context, m controlstate.Member) {
	d.mu.Lock()
	w := d.watched[m.Instance]
	reason := goneReason(time.Since(w.lastAlive), d.list.status(m.Instance))
	if reason == "" || w.appending || !sameMember(d.cfg.Replica.View(), m) {
		d.mu.Unlock()
		return
	}
	w.appending = true
	d.mu.Unlock()
	gone := record.MemberGone{Instance: m.Instance, Incarnation: m.Incarnation, Reason: reason}
	d.appendGone(ctx, gone, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		w.appending = false
	})
}

// appendGone appends the record in the background. Several instances may append
// the same removal; the later records have no effect.
func (d *failureDetector) appendGone(ctx context.Context, gone record.MemberGone, done func()) {
	d.wg.Go(func() {
		defer done()
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		// The next check retries a failed append.
		_, _, _ = d.cfg.Replica.Append(ctx, gone)
	})
}
