package engineagent

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/placement"
)

// wishAge is how long a wish for the background is kept.
const wishAge = 3 * time.Second

// want is a model or adapter that is asked for.
type want struct {
	since   time.Time
	waiting int
	// wishUntil keeps a wish for the background, worth is the demand it would carry.
	wishUntil time.Time
	worth     float64
}

// wants are the models and adapters that are asked for, by name.
type wants map[string]*want

func (w wants) add(name string, now time.Time) { w.of(name, now).waiting++ }

// wish records a wish for the background.
func (w wants) wish(name string, worth float64, now time.Time) {
	x := w.of(name, now)
	x.wishUntil, x.worth = now.Add(wishAge), worth
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
	if x.waiting <= 0 && !now.Before(x.wishUntil) {
		delete(w, name)
	}
}

// list returns the wants in the order of asking; pick selects them by name.
func (w wants) list(now time.Time, pick func(name string) bool) []placement.Want {
	var out []placement.Want
	for name, x := range w {
		w.tidy(name, x, now)
		if _, ok := w[name]; ok && pick(name) {
			out = append(out, placement.Want{Model: name, Since: x.since, Waiting: x.waiting, Worth: x.worth})
		}
	}
	slices.SortFunc(out, func(a, b placement.Want) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Model, b.Model))
	})
	return out
}
