package usage

import (
	"sync"
	"time"
)

// Clock estimates true time. It reads the wall clock once and counts on with the boot-time clock,
// so that a step of the wall clock changes nothing. If the wall clock was wrong at the start,
// Correct removes the difference, which the holder of the duty finds by comparing the clocks of all
// instances. It is safe for concurrent use.
type Clock struct {
	boot func() time.Duration
	// wallAt0 is the wall clock's time of boot time 0.
	wallAt0 time.Time

	mu         sync.Mutex
	correction time.Duration
}

// NewClock returns a clock that continues wall with the boot-time clock boot.
func NewClock(wall time.Time, boot func() time.Duration) *Clock {
	return &Clock{boot: boot, wallAt0: wall.Round(0).Add(-boot())}
}

// Now returns the estimated true time.
func (c *Clock) Now() time.Time {
	boot := c.boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallAt0.Add(boot + c.correction)
}

// Boot returns the boot time.
func (c *Clock) Boot() time.Duration { return c.boot() }

// Correction returns what Now adds to the wall clock of the start.
func (c *Clock) Correction() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.correction
}

// Correct sets what Now adds to the wall clock of the start.
func (c *Clock) Correct(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.correction = d
}
