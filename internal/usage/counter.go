package usage

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
)

const (
	// keptWindows is for how many windows the counts are kept: those of an outage of the log, after
	// which they are reported, and some to spare.
	keptWindows = 24
	// sectionWindows is for how many windows counts are in a section: those that are reported
	// within 30 s of their end.
	sectionWindows = 8
)

// Counter counts the runs that this instance sent to upstreams. It is safe for concurrent use.
type Counter struct {
	start   uint64
	clock   *Clock
	windows Windows

	mu sync.Mutex
	// first is the window in which this run of the process began.
	first      int64
	newest     int64
	own        byWindow
	firstStart bool
	// changes counts the changes of the counts.
	changes uint64
}

// NewCounter returns a counter for the run of the process that the random number start identifies.
// firstStart tells that there was no earlier run.
func NewCounter(start uint64, clock *Clock, windows Windows, firstStart bool) *Counter {
	return &Counter{
		start: start, clock: clock, windows: windows, first: windows.At(clock.Now()),
		own: make(byWindow), firstStart: firstStart,
	}
}

// Ran counts a request of a team that an upstream has begun to run now. Requests without a team are
// not counted.
func (c *Counter) Ran(team string) {
	if team == "" {
		return
	}
	window := c.windows.At(c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if window > c.newest {
		c.newest = window
		c.own.forgetBefore(window - keptWindows)
	}
	c.own.addRuns(window, team, 1)
	c.changes++
}

// Answer returns the counts of a window.
func (c *Counter) Answer(window int64) Answer {
	now, correction := c.clock.Now(), c.clock.Correction()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := Answer{Start: c.start, ClockUS: now.UnixMicro(), CorrectionMS: correction.Milliseconds()}
	a.Complete = c.firstStart || window > c.first
	a.Own = make(Counts)
	a.Own.add(c.own[window])
	return a
}

// Changes returns a number that rises whenever the section changes.
func (c *Counter) Changes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes
}

// Section returns the counts of the last windows for the witnesses of this instance.
func (c *Counter) Section() (json.RawMessage, error) {
	first := c.windows.At(c.clock.Now()) - sectionWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := json.Marshal(Section{Start: c.start, Own: c.own.since(first)})
	return data, errors.Wrap(err, "encode usage counts")
}
