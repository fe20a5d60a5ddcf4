package speed

import (
	"math"
	"time"
)

// Upstream is what is known of the speed of one start of an upstream. Group.Add makes it
// ready for use. It is not safe for concurrent use.
type Upstream struct {
	group *Group
	// engineRatio, stepRatio and plainRatio are the factors in use: drawn towards the
	// median of the group as long as few responses are known. stepRatio is relative to
	// the median, since a slower kind of engine is in engineRatio already.
	engineRatio, stepRatio, plainRatio float64
	// rankFactor is what Rank multiplies with.
	rankFactor float64
	transient  transient
	pauses     pauses
	// engine is the time of an engine's work relative to the start values, step that of an
	// interval between events, and plain that of a plain service's work relative to the
	// others of its group.
	engine, step, plain factor
	observedAt          time.Time
}

// Remove removes the upstream from its group.
func (u *Upstream) Remove() { delete(u.group.upstreams, u) }

// Reset forgets what is known of the upstream, for example if its software has changed.
func (u *Upstream) Reset(now time.Time) { u.group.Add(u, now) }

// priorWeight is the weight of the group's median against the upstream's own observations.
const priorWeight = 2.0

// drawn returns the factor, drawn towards the median of its group.
func (f *factor) drawn(median float64, now time.Time) float64 {
	w := f.weightAt(now)
	return median + w/(w+priorWeight)*(f.log-median)
}

// refresh computes the factors in use.
func (u *Upstream) refresh(now time.Time) {
	m := &u.group.medians
	u.engineRatio = math.Exp(u.engine.drawn(m.engine, now))
	u.rankFactor = math.Exp((rankExponent - 1) * (u.engine.drawn(m.engine, now) - m.engine))
	u.stepRatio = math.Exp(u.step.drawn(m.step, now) - m.step)
	u.plainRatio = math.Exp(u.plain.drawn(m.plain, now) - m.plain)
}

// FirstToken estimates the time to first token of a request.
func (u *Upstream) FirstToken(w Work, now time.Time) Estimate {
	g := u.group
	e := Estimate{Upstream: u.engineRatio, Model: w.Model, Transient: u.transient.factor(now), work: w}
	pace := u.engineRatio * e.Transient
	running := float64(w.Running) * g.runningRatio
	e.Prompt = pace * w.Model * g.sizeRatios[sizeClass(w.Tokens)] * float64(w.Tokens) / PrefillTokensPerMS * (1 + running*prefillInterference)
	e.Pending = pace * g.pendingRatio * float64(w.PendingTokens) / PrefillTokensPerMS
	e.Queue = pace * g.queueRatio * float64(w.Queued) * queuedRequestMS
	e.Running = u.stepRatio * e.Transient * running * runningRequestMS
	e.Fixed = pace * g.fixed.ms
	return e
}

// rankExponent is the power of an engine's relative time that counts when engines are
// compared. With 1, the fastest engines get nearly all requests until many run there: in
// replays at moderate load 4 to 5 times those of engines that take 2.2 times as long, with
// longer times to the whole response and, near the limit, to the first token. With 0, the
// times to the first token are as without learning. 0.5 has the shortest of both.
const rankExponent = 0.5

// Rank returns the value by which engines are compared, from an estimate in ms.
func (u *Upstream) Rank(totalMS float64) float64 { return totalMS * u.rankFactor }

// Plain returns how long plain work takes here, relative to the other upstreams.
func (u *Upstream) Plain(now time.Time) float64 { return u.plainRatio * u.transient.factor(now) }

// TypicalPlain returns the typical time of plain work here, or 0 if it is unknown.
func (u *Upstream) TypicalPlain() time.Duration {
	return Milliseconds(u.plainRatio * u.group.plainMS)
}

// LongestPause returns the longest recent interval between two events of a stream.
func (u *Upstream) LongestPause(now time.Time) time.Duration { return u.pauses.longest(now) }

// StepMS returns the time in ms of an engine's step with one running request.
func (u *Upstream) StepMS() float64 {
	return u.stepRatio * math.Exp(u.group.medians.step) * (stepMS + stepPerRequestMS)
}

// GenerationTime returns how long the engine takes for n tokens of a stream beside a number of running
// requests, without the prompts that it reads meanwhile.
func (u *Upstream) GenerationTime(n, running int) time.Duration {
	step := u.stepRatio * math.Exp(u.group.medians.step) * (stepMS + stepPerRequestMS*float64(running))
	return Milliseconds(float64(n) * step)
}

// Observations returns the weight of the observations of the time to first token.
func (u *Upstream) Observations(now time.Time) float64 { return u.engine.weightAt(now) }

// slowRatio is how much slower than the median an upstream is that gets no requests by its
// estimates alone, unless the others are busy. retestInterval is how long ago its last
// response must be before it is tried again.
const (
	slowRatio      = 1.5
	retestInterval = 5 * time.Second
)

// RetestDue reports whether the upstream is known as slow and has not responded lately.
func (u *Upstream) RetestDue(now time.Time) bool {
	if now.Sub(u.observedAt) < retestInterval || u.observedAt.IsZero() {
		return false
	}
	return u.engineRatio > slowRatio*u.group.engineMedianRatio || u.plainRatio > slowRatio
}
