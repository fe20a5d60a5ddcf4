package upstream

import (
	"math"
	"time"
)

// busyTime is the time over which the number of running requests is averaged: a window of usage reports,
// after which it is read.
const busyTime = 5 * time.Second

// busyKey names a service in a data centre.
type busyKey struct{ service, dataCentre string }

// busyMean is the moving average of the number of running requests.
type busyMean struct {
	running int
	mean    float64
	at      time.Time
}

// add adds delta to the running requests.
func (b *busyMean) add(delta int, now time.Time) {
	b.mean, b.at = b.value(now), now
	b.running += delta
}

func (b *busyMean) value(now time.Time) float64 {
	running := float64(b.running)
	return running + (b.mean-running)*math.Exp(-now.Sub(b.at).Seconds()/busyTime.Seconds())
}

// busyOf returns the average of the upstream's service in its data centre, nil if the service's number
// of servers is not decided here. The caller holds p.mu.
func (p *Pool) busyOf(s *state, now time.Time) *busyMean {
	if p.view == nil || p.view.Config.Services[s.upstream.Service].Autoscale == nil {
		return nil
	}
	key := busyKey{s.upstream.Service, s.upstream.DataCentre}
	b, ok := p.busy[key]
	if !ok {
		b = &busyMean{at: now}
		p.busy[key] = b
	}
	return b
}

// Busy returns how many requests of this instance run on average, by service and data centre, for the
// services whose number of servers is decided here.
func (p *Pool) Busy() map[string]map[string]float64 {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out map[string]map[string]float64
	for key, b := range p.busy {
		if out == nil {
			out = make(map[string]map[string]float64)
		}
		if out[key.service] == nil {
			out[key.service] = make(map[string]float64)
		}
		out[key.service][key.dataCentre] = b.value(now)
	}
	return out
}
