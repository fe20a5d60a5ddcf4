package relay

import (
	"context"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// outageLoop runs on readers. While the log does not answer this reader, it
// queries the status of all other readers and records a confirmed log outage.
func (r *Relay) outageLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.isReader() || !r.logUnresponsive() {
			pause(ctx, idleCheckInterval, nil)
			continue
		}
		began := r.cfg.Tracker.Now()
		r.queryReaders(ctx)
		r.confirmOutage()
		pause(ctx, r.remaining(began, freshness.ContactInterval), nil)
	}
}

func (r *Relay) queryReaders(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range r.topo.readers(r.cfg.Self.DataCentre) {
		if m.Instance != r.cfg.Self.Instance {
			wg.Go(func() { r.queryReader(ctx, m) })
		}
	}
	wg.Wait()
}

// queryReader requests the status of reader m. A response with another
// incarnation comes from a process that is not in this view, so it is no
// evidence.
func (r *Relay) queryReader(ctx context.Context, m controlstate.Member) {
	ctx, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	sent := r.cfg.Tracker.Now()
	resp, err := r.cfg.Dialer.Peer(m.PeerAddr).Status(ctx, StatusRequest{Sender: r.sender()})
	if err != nil || resp.Incarnation != m.Incarnation {
		return
	}
	r.observeOffset(resp.Offset)
	r.outageDetector.Record(freshness.PeerStatus{
		Instance:   m.Instance,
		DataCentre: m.DataCentre,
		Sent:       sent,
		Reader:     resp.Reader,
		LogAge:     resp.LogAge,
		ViewAge:    resp.ViewAge,
		LogFailing: resp.LogFails,
		Offset:     resp.Offset,
	})
}

// confirmOutage tells the tracker of a log outage if the required peers confirm
// it. In addition, the log reads of this instance must be failing, its log age
// and view age must exceed ViewBound, and its view must include every known
// offset.
func (r *Relay) confirmOutage() {
	t := r.cfg.Tracker
	recent := min(t.LogAge(), t.ViewAge()) <= freshness.ViewBound
	if recent || !r.health.Failing() || r.KnownOffset() > r.offset() {
		return
	}
	if at, ok := r.outageDetector.Confirm(t.Now(), r.requiredEvidence()); ok {
		t.RecordOutage(at)
		r.changed.broadcast()
	}
}

// requiredEvidence returns the data centres and readers that must confirm an
// outage.
func (r *Relay) requiredEvidence() freshness.Quorum {
	v := r.cfg.Sink.View()
	need := freshness.Quorum{Offset: v.Offset}
	localDC := r.cfg.Self.DataCentre
	for _, dc := range r.topo.dataCentres() {
		if state, _ := v.DataCentres.Get(dc); dc != localDC && state.In() {
			need.DataCentres = append(need.DataCentres, dc)
		}
	}
	for _, m := range r.Tree(localDC).Readers() {
		if m.Instance != r.cfg.Self.Instance {
			need.Readers = append(need.Readers, m.Instance)
		}
	}
	return need
}
