package clientbudget

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of Hold.
var (
	// ErrNoMemory means that no bytes became free in time.
	ErrNoMemory = errors.New("the instance has no memory left for the request")
	// ErrEnded means that the connection was ended.
	ErrEnded = errors.New("the connection was ended")
)

const (
	// stallTime is after how long without progress a connection may be ended for others. A lost
	// packet is sent again sooner.
	stallTime = time.Second
	// minRate is the least average rate in bytes/s at which a request makes progress. With a
	// hundred others on a link of 10 Mbit/s it has five times as much.
	minRate = 2 << 10
	// maxWait limits how long a request waits for bytes of the budget. A burst of large bodies is
	// served within it; a caller that is refused has time left for its retry.
	maxWait = 2 * time.Second
	// recheckInterval is how often a request that waits looks for connections that have stalled
	// meanwhile.
	recheckInterval = 50 * time.Millisecond
)

// Conn is what is held for one connection. Its methods are called by one goroutine at a time.
type Conn struct {
	port   *Port
	queues Queues
	end    func(Reason)
	// state is a state.
	state atomic.Int32
	// served is set once a request was received to its end.
	served atomic.Bool
	// held is how many bytes of the budget the connection has.
	held atomic.Int64
	// received counts the bytes of the current request. began and progressed are when it began and
	// when bytes were last received or written, in Unix nanoseconds.
	received, began, progressed atomic.Int64
}

// Begin tells that a request begins with n bytes. It returns false if the connection was ended.
func (c *Conn) Begin(n int) bool {
	now := time.Now().UnixNano()
	c.received.Store(int64(n))
	c.began.Store(now)
	c.progressed.Store(now)
	return c.state.CompareAndSwap(int32(idle), int32(receiving))
}

// Received tells that n bytes of a request arrived.
func (c *Conn) Received(n int) {
	c.received.Add(int64(n))
	c.progressed.Store(time.Now().UnixNano())
}

// Handle tells that a request was received to its end. It returns false if the connection was ended.
func (c *Conn) Handle() bool {
	c.served.Store(true)
	return c.state.CompareAndSwap(int32(receiving), int32(handling))
}

// BeginWrite tells that a write begins. Its result is passed to EndWrite.
func (c *Conn) BeginWrite() (before int32) {
	before = c.state.Load()
	c.progressed.Store(time.Now().UnixNano())
	if state(before) == ended || !c.state.CompareAndSwap(before, int32(writing)) {
		return int32(ended)
	}
	return before
}

// EndWrite tells that a write has ended.
func (c *Conn) EndWrite(before int32) {
	if state(before) != ended {
		c.state.CompareAndSwap(int32(writing), before)
	}
}

// Finish tells that the request is done and its bytes are free.
func (c *Conn) Finish() {
	c.release()
	c.progressed.Store(time.Now().UnixNano())
	for _, s := range []state{receiving, handling} {
		if c.state.CompareAndSwap(int32(s), int32(idle)) {
			return
		}
	}
}

// Close frees all that the connection holds.
func (c *Conn) Close() {
	c.state.Store(int32(ended))
	c.release()
	b := c.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
}

func (c *Conn) release() {
	if held := c.held.Swap(0); held > 0 {
		b := c.port.budget
		b.Requests.Resize(held, 0)
		b.notify()
	}
}

// Hold changes how many bytes the connection holds to n. If they are not free, it ends connections that
// have stalled, and waits.
func (c *Conn) Hold(n int64) error {
	held := c.held.Load()
	b := c.port.budget
	if n <= held {
		b.Requests.Resize(held, n)
		c.held.Store(n)
		if n < held {
			b.notify()
		}
		return nil
	}
	if (n <= SmallBytes || !b.hasQueue()) && b.Requests.Resize(held, n) {
		c.held.Store(n)
		return nil
	}
	if !c.state.CompareAndSwap(int32(receiving), int32(waiting)) {
		return ErrEnded
	}
	err := c.waitFor(held, n)
	// The time of the wait is not the client's.
	now := time.Now().UnixNano()
	c.received.Store(0)
	c.began.Store(now)
	c.progressed.Store(now)
	c.state.CompareAndSwap(int32(waiting), int32(receiving))
	return err
}

// waitFor waits until the connection holds n bytes. Those that want more than SmallBytes wait for those
// before them, so that a large body is not overtaken for ever by smaller ones.
func (c *Conn) waitFor(held, n int64) error {
	b := c.port.budget
	b.mu.Lock()
	b.queue = append(b.queue, c)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.queue = slices.DeleteFunc(b.queue, func(x *Conn) bool { return x == c })
		b.mu.Unlock()
		b.notify()
	}()
	t := time.NewTimer(recheckInterval)
	defer t.Stop()
	for end := time.Now().Add(maxWait); ; {
		b.mu.Lock()
		first, freed := b.queue[0] == c, b.freed
		b.mu.Unlock()
		if (first || n <= SmallBytes) && b.Requests.Resize(held, n) {
			c.held.Store(n)
			return nil
		}
		if !time.Now().Before(end) {
			return ErrNoMemory
		}
		if first || n <= SmallBytes {
			b.endStalled(b.Requests.Missing(held, n))
		}
		t.Reset(recheckInterval)
		select {
		case <-freed:
		case <-t.C:
		}
	}
}

// isStalled reports whether the connection makes so little progress that it may be ended.
func (c *Conn) isStalled(now time.Time) bool {
	quiet := now.Sub(time.Unix(0, c.progressed.Load()))
	switch state(c.state.Load()) {
	case receiving:
		age := now.Sub(time.Unix(0, c.began.Load()))
		slow := age >= stallTime && float64(c.received.Load()) < minRate*age.Seconds()
		return (slow || quiet >= stallTime) && c.queues.Unread() == 0
	case writing:
		return quiet >= stallTime && c.queues.Unsent() > 0
	default:
		return false
	}
}

// isUnused reports whether the connection was opened for some time and has not sent a whole request.
func (c *Conn) isUnused(now time.Time) bool {
	return !c.served.Load() && now.Sub(time.Unix(0, c.progressed.Load())) >= stallTime
}

// endIfStalled marks the connection as ended if it still makes too little progress.
func (c *Conn) endIfStalled(now time.Time) bool {
	s := c.state.Load()
	return c.isStalled(now) && c.state.CompareAndSwap(s, int32(ended))
}

// cost is what the connection takes from others: the bytes that it holds times how long.
func (c *Conn) cost(now time.Time) float64 {
	return float64(c.held.Load()) * now.Sub(time.Unix(0, c.progressed.Load())).Seconds()
}
