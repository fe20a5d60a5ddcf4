package engineagent

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/placement"
)

// prefetchAge is how long a background load is kept.
const prefetchAge = 3 * time.Second

// want is a model or adapter that is asked for.
type want struct {
	since   time.Time
	waiting int
	// prefetchUntil keeps a background load, worth is the demand it would carry.
	prefetchUntil time.Time
	worth         float64
}

// wants are the models and adapters that are asked for, by name.
type wants map[string]*want

func (w wants) add(name string, now time.Time) { w.of(name, now).waiting++ }

// prefetch records a background load.
func (w wants) prefetch(name string, worth float64, now time.Time) {
	x := w.of(name, now)
	x.prefetchUntil, x.worth = now.Add(prefetchAge), worth
}

func (w wants) of(name string, now time.Time) *want {
	x, ok := w[name]
	if !ok {
		x = &want{since: now}
		w[name] = x
	}
	return x
}

func (w wants) done(name string, now time.Time) {
	if x, ok := w[name]; ok {
		x.waiting--
		w.tidy(name, x, now)
	}
}

func (w wants) tidy(name string, x *want, now time.Time) {
	if x.waiting <= 0 && !now.Before(x.prefetchUntil) {
		delete(w, name)
	}
}

// list returns the wants in the order of asking; pick selects them by name.
func (w wants) list(now time.Time, pick func(name string) bool) []placement.LoadRequest {
	var out []placement.LoadRequest
	for name, x := range w {
		w.tidy(name, x, now)
		if _, ok := w[name]; ok && pick(name) {
			want := placement.LoadRequest{Model: name, Since: x.since, Waiting: x.waiting}
			if now.Before(x.prefetchUntil) {
				want.Demand = x.worth
			}
			out = append(out, want)
		}
	}
	slices.SortFunc(out, func(a, b placement.LoadRequest) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Model, b.Model))
	})
	return out
}
