package usage

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// Times of collecting, counted from the end of the window.
const (
	// CollectAfter is when instances are asked. It is above the difference of clocks that is not
	// corrected, and leaves a stalled instance a second to count what arrived.
	CollectAfter = 1500 * time.Millisecond
	// CollectUntil is when instances that do not answer are no longer waited for.
	CollectUntil = 4500 * time.Millisecond
	// pendingAfter is when candidates for the duty learn that the holder still waits for counts.
	pendingAfter = 2500 * time.Millisecond
	// lateCollectTime is how long instances are asked for a window whose CollectUntil has passed.
	lateCollectTime = time.Second
	// silentCollectUntil is when instances that were silent for silentWindows windows are no longer
	// waited for. They may be gone for good.
	silentCollectUntil = 2500 * time.Millisecond
	silentWindows      = 4
)

const (
	// askTimeout is many round trips within a region.
	askTimeout = 500 * time.Millisecond
	askPause   = 250 * time.Millisecond
	// relayedAskTimeout is for an instance that asks others, each within askTimeout.
	relayedAskTimeout = 900 * time.Millisecond
	// maxDirect is up to how many instances the holder asks itself, and sliceInstances how many are in
	// a slice otherwise, of which one asks the others.
	maxDirect      = 128
	sliceInstances = 64
	// maxAsks bounds the calls at a time.
	maxAsks = 32
	// witnessTimeout bounds the question for the counts of instances that did not answer.
	witnessTimeout = 700 * time.Millisecond
	// maxOffsetRoundTrip is the longest round trip from which a clock's offset is taken: half of it
	// is the largest error.
	maxOffsetRoundTrip = 100 * time.Millisecond
)

// CollectorOptions are the dependencies of a collector.
type CollectorOptions struct {
	Self    string
	Counter *Counter
	Clock   *Clock
	Windows Windows
	Peers   Peers
	// Busy returns Answer.Busy of this instance; it may be nil.
	Busy func() map[string]map[string]float64
	// Witnesses may be nil.
	Witnesses Witnesses
	Logger    *zap.Logger
}

// Collector asks all entry instances for their counts of a window. One Collect runs at a time.
type Collector struct {
	CollectorOptions

	mu sync.Mutex
	// silent has for how many windows in a row instances did not answer.
	silent map[string]int
	// corrections has what instances have to add to their clocks.
	corrections map[string]time.Duration
}

// NewCollector returns a collector.
func NewCollector(o CollectorOptions) *Collector {
	return &Collector{CollectorOptions: o, silent: make(map[string]int)}
}

// Collect returns the counts of a window that ended at least CollectAfter ago. req has what the
// called instances learn. pending is called if an instance is still waited for at pendingAfter.
func (c *Collector) Collect(ctx context.Context, req Request, pending func(context.Context)) Result {
	window := req.Window
	end := c.Windows.End(window)
	until := end.Add(CollectUntil)
	if late := c.Clock.Now().Add(lateCollectTime); late.After(until) {
		until = late
	}
	answers := map[string]Answer{c.Self: c.OwnAnswer(window)}
	offsets := map[string]time.Duration{c.Self: 0}
	applied := map[string]time.Duration{c.Self: c.Clock.Correction()}
	isPending := false
	for {
		missing := c.missing(answers)
		c.ask(ctx, req, missing, answers, offsets, applied)
		missing = c.missing(answers)
		now := c.Clock.Now()
		if len(missing) == 0 || ctx.Err() != nil || !now.Before(until) {
			break
		}
		if !c.anyExpected(missing) && !now.Before(end.Add(silentCollectUntil)) {
			break
		}
		if !isPending && !now.Before(end.Add(pendingAfter)) {
			isPending = true
			pending(ctx)
		}
		sleep(ctx, askPause)
	}
	c.noteSilent(answers)
	c.correctClocks(offsets, applied)
	return c.complete(ctx, window, answers)
}

// OwnAnswer returns the answer of this instance.
func (c *Collector) OwnAnswer(window int64) Answer {
	a := c.Counter.Answer(window)
	if c.Busy != nil {
		a.Busy = c.Busy()
	}
	return a
}

func (c *Collector) missing(answers map[string]Answer) []string {
	var out []string
	for _, name := range c.Peers.Names() {
		if _, ok := answers[name]; !ok {
			out = append(out, name)
		}
	}
	return out
}

// anyExpected reports whether an instance answered lately.
func (c *Collector) anyExpected(names []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool { return c.silent[name] < silentWindows })
}

func (c *Collector) noteSilent(answers map[string]Answer) {
	names := c.Peers.Names()
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := make(map[string]int, len(c.silent))
	for _, name := range names {
		if _, ok := answers[name]; !ok {
			silent[name] = c.silent[name] + 1
		}
	}
	c.silent = silent
}

// ask asks instances and adds what they answer. In a large fleet, some of them ask the others.
func (c *Collector) ask(ctx context.Context, req Request, names []string, answers map[string]Answer, offsets, applied map[string]time.Duration) {
	req.Corrections = c.correctionsFor(names)
	var requests []Request
	var called []string
	for _, slice := range slices.Collect(slices.Chunk(names, sliceSize(len(names)))) {
		own := req.forInstance(slice[0])
		if len(slice) > 1 {
			own.Ask, own.Corrections = slice[1:], req.Corrections
		}
		called, requests = append(called, slice[0]), append(requests, own)
	}
	c.call(ctx, called, requests, func(name string, a Answer, offset, roundTrip time.Duration) {
		for other, o := range a.Others {
			c.note(other, o, o.clock().Sub(a.clock())+offset, roundTrip, answers, offsets, applied)
		}
		a.Others = nil
		c.note(name, a, offset, roundTrip, answers, offsets, applied)
	})
}

// note adds the answer of an instance whose clock is ahead by offset.
func (c *Collector) note(name string, a Answer, offset, roundTrip time.Duration, answers map[string]Answer, offsets, applied map[string]time.Duration) {
	answers[name] = a
	if roundTrip <= maxOffsetRoundTrip {
		offsets[name] = offset
		applied[name] = time.Duration(a.CorrectionMS) * time.Millisecond
	}
}

// AskOthers asks the instances that a request names, in place of the caller, and returns the answer of
// this instance with theirs.
func (c *Collector) AskOthers(ctx context.Context, req Request, own Answer) Answer {
	var requests []Request
	for _, name := range req.Ask {
		requests = append(requests, req.forInstance(name))
	}
	others, offsets := make(map[string]Answer), make(map[string]time.Duration)
	c.call(ctx, req.Ask, requests, func(name string, a Answer, offset, _ time.Duration) {
		others[name], offsets[name] = a, offset
	})
	// The caller compares all clocks with this one, so all are given for the same moment.
	now := c.Clock.Now()
	own.ClockUS = now.UnixMicro()
	own.Others = make(map[string]Answer, len(others))
	for name, a := range others {
		a.ClockUS = now.Add(offsets[name]).UnixMicro()
		own.Others[name] = a
	}
	return own
}

// call calls instances and hands each answer over, one at a time, with by how much the instance's clock
// is ahead.
func (c *Collector) call(ctx context.Context, names []string, requests []Request, answered func(name string, a Answer, offset, roundTrip time.Duration)) {
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(maxAsks)
	for i, name := range names {
		calls.Go(func() error {
			timeout := askTimeout
			if len(requests[i].Ask) > 0 {
				timeout = relayedAskTimeout
			}
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			sent := c.Clock.Now()
			a, err := c.Peers.Usage(callCtx, name, requests[i])
			if err != nil {
				c.Logger.Debug("instance did not answer for its usage", zap.String("instance", name), telemetry.Err(err))
				return nil
			}
			received := c.Clock.Now()
			// The clock of an instance that asked others was read when it had their answers.
			moment := sent.Add(received.Sub(sent) / 2)
			if len(requests[i].Ask) > 0 {
				moment = received
			}
			roundTrip := received.Sub(sent)
			mu.Lock()
			defer mu.Unlock()
			answered(name, a, a.clock().Sub(moment), roundTrip)
			return nil
		})
	}
	_ = calls.Wait()
}

// sliceSize returns how many instances one of them asks for: one, itself, in a fleet that is small enough
// for direct calls. A call costs some 0.1 ms of a core, so 1,600 direct calls a window would cost the
// holder 3% of one.
func sliceSize(instances int) int {
	if instances <= maxDirect {
		return 1
	}
	return sliceInstances
}

func (c *Collector) correctionsFor(names []string) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]int64
	for _, name := range names {
		if d, ok := c.corrections[name]; ok {
			if out == nil {
				out = make(map[string]int64)
			}
			out[name] = d.Milliseconds()
		}
	}
	return out
}

// correctClocks corrects the own clock and remembers what the other instances are to be told.
func (c *Collector) correctClocks(offsets, applied map[string]time.Duration) {
	found := corrections(offsets, applied)
	if d, ok := found[c.Self]; ok {
		c.Logger.Warn("clock differs from those of the other instances, correcting it", zap.Duration("correction", d), zap.Duration("before", c.Clock.Correction()))
		c.Clock.Correct(d)
		// The others were measured against the clock as it was. Their differences from the median
		// do not depend on it.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.corrections = found
}

// complete adds what witnesses have of instances that did not answer, and of earlier runs.
func (c *Collector) complete(ctx context.Context, window int64, answers map[string]Answer) Result {
	names := c.Peers.Names()
	if !slices.Contains(names, c.Self) {
		names = append(slices.Clone(names), c.Self)
	}
	var incomplete []string
	for _, name := range names {
		if a, ok := answers[name]; !ok || !a.Complete {
			incomplete = append(incomplete, name)
		}
	}
	sections := c.sections(ctx, incomplete)
	r := Result{Window: window}
	r.Counts, r.Unknown = merge(window, names, answers, sections)
	r.Busy = sumBusy(answers)
	for name := range sections {
		r.Witnessed = append(r.Witnessed, name)
	}
	slices.Sort(r.Witnessed)
	return r
}

func (c *Collector) sections(ctx context.Context, names []string) map[string][]Section {
	if c.Witnesses == nil || len(names) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	raw, err := c.Witnesses.Sections(ctx, names)
	if err != nil {
		c.Logger.Warn("cannot read the usage that witnesses have", telemetry.Err(err))
	}
	out := make(map[string][]Section, len(raw))
	for name, runs := range raw {
		for _, data := range runs {
			var s Section
			if err := json.Unmarshal(data, &s); err != nil {
				c.Logger.Warn("cannot decode the usage that witnesses have", zap.String("instance", name), telemetry.Err(err))
				continue
			}
			out[name] = append(out[name], s)
		}
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
