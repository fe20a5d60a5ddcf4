package speed

import (
	"math"
	"time"
)

const (
	// minTimeMS is the shortest time that is told apart from others.
	minTimeMS = 0.5
	// maxTotalGain bounds how much of a residual all factors together take in, so that
	// they do not overshoot.
	maxTotalGain = 0.9
)

// ObserveFirstToken takes in how long a request took to its first token, of which e was
// the estimate when it was sent.
func (u *Upstream) ObserveFirstToken(e *Estimate, model string, took time.Duration, now time.Time) {
	g := u.group
	observed, total := max(minTimeMS, inMS(took)), max(minTimeMS, e.TotalMS())
	residual := math.Log(observed / total)
	m, ok := g.models[model]
	if !ok {
		m = &factor{}
		g.models[model] = m
	}
	size := &g.sizes[sizeClass(e.work.Tokens)]
	// fixedScaleMS keeps short times, which depend on the network, from the factors.
	part := func(ms float64) float64 { return ms / (total + fixedScaleMS) }
	targets := [...]struct {
		f     *factor
		share float64
	}{
		{&u.engine, part(e.Prompt + e.Pending + e.Queue + e.Fixed)},
		{m, part(e.Prompt)},
		{size, part(e.Prompt)},
		{&g.queue, part(e.Queue)},
		{&g.pending, part(e.Pending)},
		{&g.running, part(e.Running + e.Prompt*interferencePart(e.work.Running))},
	}
	sum := 0.0
	for _, t := range targets {
		sum += t.f.gain(now) * t.share
	}
	scale := min(1, maxTotalGain/max(sum, maxTotalGain))
	for _, t := range targets {
		t.f.learn(residual, scale*t.f.gain(now), t.share, now)
	}
	pace := e.Upstream * e.Transient
	g.fixed.learn((observed-(total-e.Fixed))/pace, (total-e.Fixed)/pace, now)
	g.sizeRatios[sizeClass(e.work.Tokens)] = math.Exp(size.log)
	g.queueRatio, g.runningRatio, g.pendingRatio = math.Exp(g.queue.log), math.Exp(g.running.log), math.Exp(g.pending.log)
	u.observed(now)
}

// interferencePart is the part of the time to read a prompt that the running requests add.
func interferencePart(running int) float64 {
	i := float64(running) * prefillInterference
	return i / (1 + i)
}

// ObserveEvents takes in the mean interval between events of a stream while the engine ran
// this many requests.
func (u *Upstream) ObserveEvents(mean time.Duration, running int, now time.Time) {
	expected := eventTokens * (stepMS + stepPerRequestMS*float64(running))
	u.step.learn(math.Log(max(minTimeMS, inMS(mean))/expected)-u.step.log, u.step.gain(now), 1, now)
	u.observed(now)
}

// ObservePause takes in an interval between two events.
func (u *Upstream) ObservePause(d time.Duration, now time.Time) { u.pauses.add(d, now) }

// ObserveWorkTime takes in the work time that the upstream states, relative to its usual
// one.
func (u *Upstream) ObserveWorkTime(ratio float64, now time.Time) {
	u.transient = transient{ratio: ratio, at: now}
}

// ObservePlain takes in how long plain work took at an upstream that was not full.
func (u *Upstream) ObservePlain(took time.Duration, now time.Time) {
	ms := max(minTimeMS, inMS(took))
	g := u.group
	if g.plainMS == 0 {
		g.plainMS = ms
	}
	residual := math.Log(ms / (g.plainMS * u.plainRatio))
	u.plain.learn(residual, u.plain.gain(now), 1, now)
	g.plainMS *= math.Exp(plainGain * clamp(residual, -clip, clip))
	u.observed(now)
}

// plainGain is the weight of an observation in the group's time of plain work.
const plainGain = 0.05

func (u *Upstream) observed(now time.Time) {
	u.observedAt = now
	u.refresh(now)
	u.group.updateMedians(now)
}
