package coldstart

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/loadqueue"
)

// Policy decides on which homes a burst loads models, and in which order.
type Policy struct {
	Name string
	// FirstHome sends all requests for a cold model to its first home.
	FirstHome bool
	// before reports whether load x starts before load y.
	before func(x, y *load) bool
}

// load is the load of a model on one home, with the requests that wait for it.
type load struct {
	model, home int
	waiting     []request
	arrival     uint64
	duration    time.Duration
	end         time.Duration
}

func (l *load) candidate() loadqueue.Candidate {
	deadline := l.waiting[0].deadline
	for _, r := range l.waiting {
		deadline = min(deadline, r.deadline)
	}
	return loadqueue.Candidate{Deadline: time.Unix(0, int64(deadline)), Arrival: l.arrival}
}

// Policies returns the baselines and the product's policy.
func Policies() []Policy {
	arrival := func(x, y *load) bool { return x.arrival < y.arrival }
	product := func(x, y *load) bool { return x.candidate().Before(y.candidate()) }
	return []Policy{
		{Name: "first come first served, any home", before: arrival},
		{Name: "load queue, any home", before: product},
		{Name: "first come first served, first home", FirstHome: true, before: arrival},
		{Name: "load queue, first home", FirstHome: true, before: product},
	}
}

// storeBound approximates the best order that the store's limits allow. It loads each
// model once, the one with the most waiting requests first, and knows the whole burst
// from the start.
var storeBound = Policy{Name: "store's bound", FirstHome: true, before: func(x, y *load) bool { return len(x.waiting) > len(y.waiting) }}

// simulate returns the cold-start time of each request of the burst. A clairvoyant
// run may start a load before its first request arrives.
func simulate(s Site, p Policy, burst []request, durations []time.Duration, clairvoyant bool) []sample {
	loads := groupLoads(p, burst, durations)
	limiter := rate.NewLimiter(rate.Limit(s.LoadsPerS), 1)
	slotFreeAt := make([]time.Duration, s.MaxConcurrentLoads)
	pending := slices.Clone(loads)
	for now := time.Duration(0); len(pending) > 0; {
		slot := slices.Index(slotFreeAt, slices.Min(slotFreeAt))
		now = max(now, slotFreeAt[slot])
		best := nextLoad(p, pending, now, clairvoyant)
		if best < 0 {
			now = slices.MinFunc(pending, func(x, y *load) int { return cmp.Compare(x.waiting[0].at, y.waiting[0].at) }).waiting[0].at
			continue
		}
		r := limiter.ReserveN(time.Unix(0, int64(now)), 1)
		if wait := r.DelayFrom(time.Unix(0, int64(now))); wait > 0 {
			// Choose again when the rate limit allows a load, as more may be waiting then.
			r.CancelAt(time.Unix(0, int64(now)))
			now += wait
			continue
		}
		l := pending[best]
		l.end = now + l.duration
		slotFreeAt[slot] = l.end
		pending = slices.Delete(pending, best, best+1)
	}
	return samples(s, loads)
}

// groupLoads groups the requests of the burst by the load that they wait for.
func groupLoads(p Policy, burst []request, durations []time.Duration) []*load {
	type key struct{ model, home int }
	byKey := make(map[key]*load)
	var out []*load
	for i, r := range burst {
		k := key{r.model, r.home}
		if p.FirstHome {
			k.home = 0
		}
		l := byKey[k]
		if l == nil {
			l = &load{model: k.model, home: k.home, arrival: uint64(i), duration: durations[r.model]}
			byKey[k] = l
			out = append(out, l)
		}
		l.waiting = append(l.waiting, r)
	}
	return out
}

// nextLoad returns the index of the load that starts next among those requested by
// now, or among all if clairvoyant. It returns -1 if there is none.
func nextLoad(p Policy, pending []*load, now time.Duration, clairvoyant bool) int {
	best := -1
	for i, l := range pending {
		if !clairvoyant && l.waiting[0].at > now {
			continue
		}
		if best < 0 || p.before(l, pending[best]) {
			best = i
		}
	}
	return best
}

// sample is the cold-start time of one request, and whether it missed its deadline.
type sample struct {
	wait   time.Duration
	urgent bool
	late   bool
}

func samples(s Site, loads []*load) []sample {
	var out []sample
	for _, l := range loads {
		for _, r := range l.waiting {
			end := l.end
			if r.adapter {
				end += s.AdapterLoadTime
			}
			wait := max(0, end-r.at)
			out = append(out, sample{wait: wait, urgent: r.urgent, late: r.at+wait > r.deadline})
		}
	}
	return out
}
