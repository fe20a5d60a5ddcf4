package streamorigin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// ErrUnknown means that the stream may have begun at any of several versions.
var ErrUnknown = errors.New("it is not known which software version began the stream")

// Limits of Resolve, for which a caller waits.
const (
	// logTimeout is many times the 4 ms in which a healthy store answers.
	logTimeout = 400 * time.Millisecond
	// listTimeout is below peerTimeout, within which another instance has to answer.
	listTimeout = 100 * time.Millisecond
	// peerTimeout is several round trips within a region.
	peerTimeout = 150 * time.Millisecond
)

// Resolve returns what began the stream that the caller of service resumes. id is the request
// that brought its first event, or empty if the caller does not name it. It asks the log and
// other instances if this one does not know.
func (t *Tracker) Resolve(ctx context.Context, service, id string) (Origin, error) {
	current := t.refreshForSole(ctx, service, id)
	if o, done, err := t.known(service, id, current); done {
		return o, err
	}
	if t.o.Log != nil {
		if err := t.log.do(ctx, logTimeout, t.readLog); err != nil {
			t.o.Logger.Warn("cannot read the records of streams", telemetry.Err(err))
		} else if o, done, err := t.known(service, id, current); done {
			return o, err
		}
	}
	if t.o.Peers == nil {
		return Origin{}, ErrUnknown
	}
	peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers, alone := t.o.Peers.AskOrigin(peerCtx, service, id)
	for _, a := range answers {
		if a.Known {
			return Origin{Service: a.Service, Version: a.Version}, nil
		}
	}
	own := t.answer(service, "")
	if own.HasSole && (alone && own.Covered || confirmSole(answers, own.Sole)) {
		return Origin{Service: service, Version: own.Sole}, nil
	}
	return Origin{}, ErrUnknown
}

// known returns what this instance knows by itself. done is false if others may know more. current
// tells that its list of upstreams is.
func (t *Tracker) known(service, id string, current bool) (o Origin, done bool, err error) {
	a := t.answer(service, id)
	switch {
	case a.Known:
		return Origin{Service: a.Service, Version: a.Version}, true, nil
	case id != "" && t.Ambiguous(id):
		return Origin{}, true, ErrUnknown
	case a.HasSole && a.Covered && current:
		return Origin{Service: service, Version: a.Sole}, true, nil
	}
	return Origin{}, false, nil
}

// refreshForSole reads the list of upstreams if the only version that it names would be taken for the
// one that began the stream, and reports whether the list is current. A version that has come since
// the list was read may have begun the stream at another instance, whatever the list's age.
func (t *Tracker) refreshForSole(ctx context.Context, service, id string) bool {
	a := t.answer(service, id)
	if a.Known || !a.HasSole {
		return false
	}
	if t.o.RefreshList == nil {
		return a.Fresh
	}
	if err := t.list.do(ctx, listTimeout, t.o.RefreshList); err != nil {
		t.o.Logger.Warn("cannot read the list of upstreams for a resumed stream", telemetry.Err(err))
		return false
	}
	return true
}

// Answer returns what this instance knows by itself of the stream of request id of a service, for
// another instance.
func (t *Tracker) Answer(ctx context.Context, service, id string) Answer {
	current := t.refreshForSole(ctx, service, id)
	a := t.answer(service, id)
	a.Fresh = current
	return a
}

// answer returns what this instance knows by itself of the stream of request id of a service.
func (t *Tracker) answer(service, id string) Answer {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := !t.observedSince.IsZero() && now.Sub(t.observedSince) >= t.retention
	a := Answer{Covered: t.covered || observed, Fresh: t.o.Log == nil || age(t.confirmedAt, now) <= maxListAge}
	if id != "" {
		if e := t.table.get(keyOf(id)); e != nil && !e.ambiguous {
			a.Known, a.Service, a.Version = true, e.origin.Service, e.origin.Version
		}
	}
	h := t.services[service]
	if h == nil {
		return a
	}
	if _, several := h.several(now, t.retention); several || !observed && t.severalByLog(service, now) {
		return a
	}
	a.Sole, a.HasSole = h.sole()
	return a
}

// severalByLog reports whether a service has had several versions lately according to the log.
func (t *Tracker) severalByLog(service string, now time.Time) bool {
	at, ok := t.severalAtMS[service]
	return ok && now.UnixMilli()-at < (t.retention+clockError).Milliseconds()
}

// readLog applies what the log has since the last read.
func (t *Tracker) readLog(ctx context.Context) error {
	page, err := t.o.Log.Read(ctx, t.position)
	if err != nil {
		return err
	}
	t.position = topicwatch.Position{Era: page.Era, Offset: page.Next}
	t.apply(page)
	return nil
}

// apply applies records of the log.
func (t *Tracker) apply(page topicwatch.Page) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	invalid := 0
	for _, it := range page.Items {
		r, err := decodeRecord(it.Value)
		if err != nil {
			if invalid++; invalid == 1 {
				t.o.Logger.Warn("record of streams cannot be decoded, skipping it", zap.Int64("offset", it.Offset), telemetry.Err(err))
			}
			continue
		}
		t.applyRecord(r, now)
	}
	t.covered = true
}

// applyRecord applies a valid record.
func (t *Tracker) applyRecord(r record, now time.Time) {
	for service, s := range r.Services {
		t.severalAtMS[service] = max(t.severalAtMS[service], r.AtMS-s.SeveralMS)
		for version, keys := range s.Began {
			for _, k := range keys {
				t.putEncoded(k, entry{origin: Origin{Service: service, Version: version}, at: now}, now)
			}
		}
		for _, k := range s.Ambiguous {
			t.putEncoded(k, entry{origin: Origin{Service: service}, at: now, ambiguous: true}, now)
		}
	}
}

func (t *Tracker) putEncoded(encoded string, e entry, now time.Time) {
	if k, err := decodeKey(encoded); err == nil {
		t.table.put(k, e, now, t.retention)
	}
}

// encode returns the record of what waits to be written, or nil if nothing does.
func (t *Tracker) encode(p *pending) ([]byte, error) {
	now := time.Now()
	t.mu.Lock()
	r := p.record(now.UnixMilli(), func(service string) int64 {
		h := t.services[service]
		if h == nil {
			return 0
		}
		ago, _ := h.several(now, t.retention)
		return ago.Milliseconds()
	})
	t.mu.Unlock()
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record of streams")
}
