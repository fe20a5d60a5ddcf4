package engineagent

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/placement"
)

// wishAge is how long a wish for the background is kept.
const wishAge = 8 * time.Second

// want is a model or adapter that is asked for.
type want struct {
	since   time.Time
	waiting int
	// wishUntil keeps a wish for the background.
	wishUntil time.Time
}

// wants are the models and adapters that are asked for, by name.
type wants map[string]*want

func (w wants) add(name string, background bool, now time.Time) {
	x, ok := w[name]
	if !ok {
		x = &want{since: now}
		w[name] = x
	}
	if background {
		x.wishUntil = now.Add(wishAge)
		return
	}
	x.waiting++
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
			out = append(out, placement.Want{Model: name, Since: x.since, Waiting: x.waiting})
		}
	}
	slices.SortFunc(out, func(a, b placement.Want) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Model, b.Model))
	})
	return out
}
