package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// watcher ends members that have fallen silent. Every member is watched by its
// relay parent; readers, who have none, by the other readers of their data
// centre and by the readers of the next one.
type watcher struct {
	cfg     Config
	listing *listing
	orphans *orphans
	mu      sync.Mutex
	watched map[string]*suspect
	wg      sync.WaitGroup
}

func newWatcher(cfg Config) *watcher {
	l := &listing{list: cfg.List}
	return &watcher{
		cfg:     cfg,
		listing: l,
		orphans: newOrphans(cfg.Self, l),
		watched: make(map[string]*suspect),
	}
}

func (w *watcher) run(ctx context.Context) {
	defer w.wg.Wait()
	last := time.Now()
	for {
		wait(ctx, CheckInterval, nil)
		if ctx.Err() != nil {
			return
		}
		if time.Since(last) > pausedAfter {
			w.forgive()
		}
		last = time.Now()
		w.check(ctx)
	}
}

// forgive restarts all timers after a pause of this process (F8).
func (w *watcher) forgive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.watched)
	w.orphans.forget()
}

func (w *watcher) check(ctx context.Context) {
	targets := w.targets()
	w.forgetOthers(targets)
	if !w.cfg.Replica.MayDecide() {
		return
	}
	silent := false
	for _, m := range targets {
		d := w.observe(m)
		if d >= ProbeAfter {
			w.probe(ctx, m)
		}
		silent = silent || d >= UnlistedTimeout
	}
	v := w.cfg.Replica.View()
	tracked := w.orphans.present(v, w.cfg.Relay.Tree(w.cfg.Self.DataCentre))
	if silent || tracked {
		w.listing.refresh(ctx)
	}
	for _, m := range targets {
		w.judge(ctx, m)
	}
	for _, gone := range w.orphans.due() {
		w.append(ctx, gone, func() {})
	}
}

// targets returns the members that this one watches.
func (w *watcher) targets() []fold.Member {
	self := w.cfg.Self
	own := w.cfg.Relay.Tree(self.DataCentre)
	p, live := own.Position(self.Instance, self.Incarnation())
	if !live {
		return nil
	}
	var targets []fold.Member
	for _, q := range own.Children(p) {
		targets = append(targets, own.At(q))
	}
	if p >= relay.ReadersPerDataCentre {
		return targets
	}
	for q, m := range own.Readers() {
		if q != p {
			targets = append(targets, m)
		}
	}
	return append(targets, w.nextDataCentre()...)
}

// nextDataCentre returns the readers of the next data centre in the order of
// names, and more members once all of those are silent, so that a data centre
// that is lost as a whole is cleared in steps of crossWatch.
func (w *watcher) nextDataCentre() []fold.Member {
	next := nextName(w.cfg.Replica.View(), w.cfg.Self.DataCentre)
	if next == "" {
		return nil
	}
	order := w.cfg.Relay.Tree(next)
	readers := order.Readers()
	if !w.allSilent(readers) {
		return slices.Clone(readers)
	}
	var targets []fold.Member
	for p := range min(crossWatch, order.Len()) {
		targets = append(targets, order.At(p))
	}
	return targets
}

func nextName(v *fold.View, own string) string {
	first, next := "", ""
	for _, m := range v.Members.All() {
		dc := m.DataCentre
		if dc != own && (first == "" || dc < first) {
			first = dc
		}
		if dc > own && (next == "" || dc < next) {
			next = dc
		}
	}
	if next == "" {
		return first
	}
	return next
}

func (w *watcher) allSilent(members []fold.Member) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range members {
		s, ok := w.watched[m.Instance]
		if !ok || s.incarnation != m.Incarnation || time.Since(s.alive) < ProbeAfter+probeTimeout {
			return false
		}
	}
	return true
}

func (w *watcher) forgetOthers(targets []fold.Member) {
	keep := make(map[string]bool, len(targets))
	for _, m := range targets {
		keep[m.Instance] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for instance := range w.watched {
		if !keep[instance] {
			delete(w.watched, instance)
		}
	}
}

// observe returns how long the member has been silent.
func (w *watcher) observe(m fold.Member) time.Duration {
	heard := w.cfg.Relay.TimeSinceLastMessage(m)
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.watched[m.Instance]
	if !ok || s.incarnation != m.Incarnation {
		s = &suspect{incarnation: m.Incarnation, alive: time.Now()}
		w.watched[m.Instance] = s
	}
	if silent := time.Since(s.alive); heard >= silent {
		return silent
	}
	s.alive = time.Now().Add(-heard)
	return heard
}

// probe asks the member itself, one probe at a time. An answer under another
// incarnation shows that the watched one has ended, and counts as silence.
func (w *watcher) probe(ctx context.Context, m fold.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.watched[m.Instance]
	if s.probing {
		return
	}
	s.probing = true
	w.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		answer, err := w.cfg.Dialer.Peer(m.PeerAddr).Status(ctx, relay.StatusRequest{Sender: w.sender()})
		w.mu.Lock()
		defer w.mu.Unlock()
		s.probing = false
		if err == nil && answer.Instance == m.Instance && answer.Incarnation == m.Incarnation {
			s.alive = time.Now()
		}
	})
}

func (w *watcher) sender() relay.Sender {
	return relay.Sender{
		Instance:    w.cfg.Self.Instance,
		Incarnation: w.cfg.Self.Incarnation(),
		Offset:      w.cfg.Replica.View().Offset,
	}
}

func (w *watcher) judge(ctx context.Context, m fold.Member) {
	w.mu.Lock()
	s := w.watched[m.Instance]
	reason := verdictOn(time.Since(s.alive), w.listing.of(m.Instance))
	if reason == "" || s.ending || !sameMember(w.cfg.Replica.View(), m) {
		w.mu.Unlock()
		return
	}
	s.ending = true
	w.mu.Unlock()
	gone := record.MemberGone{Instance: m.Instance, Incarnation: m.Incarnation, Reason: reason}
	w.append(ctx, gone, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.ending = false
	})
}

// append decides in the background. Watchers that decide the same do no harm:
// the second record is void.
func (w *watcher) append(ctx context.Context, gone record.MemberGone, done func()) {
	w.wg.Go(func() {
		defer done()
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		// A failed append is judged anew at the next check.
		_, _, _ = w.cfg.Replica.Append(ctx, gone)
	})
}
