package speed

import (
	"math"
	"slices"
	"time"
)

// Group is what is known of the speed of a service's upstreams together. It is not safe for
// concurrent use.
type Group struct {
	upstreams map[*Upstream]struct{}
	models    map[string]*factor
	// sizes is the time to read a prompt by its size class, queue that of a queued request,
	// running that of a running request and pending that of the prompts sent before, which
	// may be read in part already, relative to the start values. The ratios are the
	// factors in use.
	sizes                                  [sizeClasses]factor
	sizeRatios                             [sizeClasses]float64
	queue, running, pending                factor
	queueRatio, runningRatio, pendingRatio float64
	fixed                                  fixedTime
	// plainMS is the running median of the time of plain work, 0 if unknown.
	plainMS           float64
	medians           medians
	engineMedianRatio float64
	mediansAt         time.Time
}

// medians are those of the logarithms of the upstreams' factors.
type medians struct{ engine, step, plain float64 }

// Parameters of the medians.
const (
	// medianInterval is how often they are computed, which takes time in proportion to
	// the number of upstreams.
	medianInterval = 2 * time.Second
	// minMedianChange is the change (logarithm) below which they count as unchanged.
	minMedianChange = 0.02
	// knownWeight is the weight from which an upstream counts as known.
	knownWeight = 3.0
)

// NewGroup returns a group in which nothing is known.
func NewGroup() *Group {
	g := &Group{upstreams: make(map[*Upstream]struct{}), models: make(map[string]*factor), queueRatio: 1, runningRatio: 1, pendingRatio: 1, engineMedianRatio: 1}
	for i := range g.sizeRatios {
		g.sizeRatios[i] = 1
	}
	return g
}

// Add adds an upstream of which nothing is known.
func (g *Group) Add(u *Upstream, now time.Time) {
	*u = Upstream{group: g}
	u.refresh(now)
	g.upstreams[u] = struct{}{}
}

// Model returns the time of a model's work relative to the others.
func (g *Group) Model(name string) float64 {
	if f, ok := g.models[name]; ok {
		return math.Exp(f.log)
	}
	return 1
}

// PrefillMS returns the time to read a prompt at the median upstream.
func (g *Group) PrefillMS(model string, tokens int) float64 {
	return g.engineMedianRatio * g.Model(model) * g.sizeRatios[sizeClass(tokens)] * float64(tokens) / PrefillTokensPerMS
}

// updateMedians computes the medians if they are old and, if they have moved, the factors in
// use of all upstreams from them.
func (g *Group) updateMedians(now time.Time) {
	if now.Sub(g.mediansAt) < medianInterval {
		return
	}
	g.mediansAt = now
	var engine, step, plain []float64
	known := func(logs []float64, f *factor) []float64 {
		if f.weightAt(now) < knownWeight {
			return logs
		}
		return append(logs, f.log)
	}
	for u := range g.upstreams {
		engine, step, plain = known(engine, &u.engine), known(step, &u.step), known(plain, &u.plain)
	}
	old := g.medians
	g.medians = medians{engine: median(engine, old.engine), step: median(step, old.step), plain: median(plain, old.plain)}
	if max(math.Abs(g.medians.engine-old.engine), math.Abs(g.medians.step-old.step), math.Abs(g.medians.plain-old.plain)) < minMedianChange {
		g.medians = old
		return
	}
	g.engineMedianRatio = math.Exp(g.medians.engine)
	for u := range g.upstreams {
		u.refresh(now)
	}
}

// median returns the median of logs, or old if there are none.
func median(logs []float64, old float64) float64 {
	if len(logs) == 0 {
		return old
	}
	slices.Sort(logs)
	return (logs[(len(logs)-1)/2] + logs[len(logs)/2]) / 2
}
