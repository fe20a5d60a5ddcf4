package relay

import (
	"context"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// contactLoop exchanges contact messages with all readers while the log fails
// for this reader, and records a confirmed outage.
func (r *Relay) contactLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.isReader() || !r.logFails() {
			pause(ctx, idleCheck, nil)
			continue
		}
		began := r.cfg.Tracker.Now()
		r.contactAll(ctx)
		r.confirmOutage()
		pause(ctx, r.waitFor(began, freshness.ContactInterval), nil)
	}
}

func (r *Relay) contactAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range r.topo.readers(r.cfg.Self.DataCentre) {
		if m.Instance != r.cfg.Self.Instance {
			wg.Go(func() { r.contact(ctx, m) })
		}
	}
	wg.Wait()
}

// contact asks one reader. An answer under another incarnation comes from a
// process that this view does not know and is no evidence.
func (r *Relay) contact(ctx context.Context, m fold.Member) {
	ctx, cancel := context.WithTimeout(ctx, ContactTimeout)
	defer cancel()
	sent := r.cfg.Tracker.Now()
	a, err := r.cfg.Dialer.Peer(m.PeerAddr).Contact(ctx, ContactRequest{Sender: r.sender()})
	if err != nil || a.Incarnation != m.Incarnation {
		return
	}
	r.learn(a.Offset)
	r.judge.Record(freshness.PeerStatus{
		Instance:   m.Instance,
		DataCentre: m.DataCentre,
		Sent:       sent,
		Reader:     a.Reader,
		LogAge:     a.LogAge,
		ViewAge:    a.ViewAge,
		LogFailing: a.LogFails,
		Offset:     a.Offset,
	})
}

// confirmOutage needs the own log read to have failed for ViewBound as well,
// and a view that holds every offset heard of.
func (r *Relay) confirmOutage() {
	t := r.cfg.Tracker
	recent := min(t.LogAge(), t.ViewAge()) <= freshness.ViewBound
	if recent || !r.health.Failing() || r.Known() > r.offset() {
		return
	}
	if at, ok := r.judge.Confirm(t.Now(), r.need()); ok {
		t.RecordOutage(at)
		r.changed.broadcast()
	}
}

// need names the data centres and readers whose word is required.
func (r *Relay) need() freshness.Quorum {
	v := r.cfg.Sink.View()
	need := freshness.Quorum{Offset: v.Offset}
	own := r.cfg.Self.DataCentre
	for _, dc := range r.topo.dataCentres() {
		if state, _ := v.DataCentres.Get(dc); dc != own && state.In() {
			need.DataCentres = append(need.DataCentres, dc)
		}
	}
	for _, m := range r.Order(own).Readers() {
		if m.Instance != r.cfg.Self.Instance {
			need.Readers = append(need.Readers, m.Instance)
		}
	}
	return need
}
