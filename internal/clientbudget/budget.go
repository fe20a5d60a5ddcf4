package clientbudget

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Budget bounds what the listeners of a process hold together. It is safe for concurrent use.
type Budget struct {
	// Requests and Responses bound the bytes that are held for each of them.
	Requests, Responses *Share
	maxConns            int

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// queue are the connections that wait for more than SmallBytes, in the order of their arrival.
	queue []*Conn
	// freed is closed when a connection that waits may find bytes free.
	freed chan struct{}
}

// New returns a budget.
func New(l Limits) *Budget {
	t := &total{limit: l.HeldBytes}
	return &Budget{
		Requests: newShare(t, l.RequestBytes), Responses: newShare(t, l.ResponseBytes), maxConns: l.Conns,
		conns: make(map[*Conn]struct{}), freed: make(chan struct{}),
	}
}

// portShare is the share of the connections that one listener may take, so that a crowd at one leaves
// room at the others.
const portShare = 0.75

// Port is one listener of a budget.
type Port struct {
	budget *Budget
	// max limits the connections of this listener, conns counts them.
	max, conns int
}

// NewPort returns a listener's part of the budget.
func (b *Budget) NewPort() *Port {
	return &Port{budget: b, max: max(1, int(portShare*float64(b.maxConns)))}
}

// Open adds a connection. If there is no place, it ends one that is idle or stalled, and returns nil if
// there is none. end is called at most once, to close the connection.
func (p *Port) Open(queues Queues, end func(Reason)) *Conn {
	b := p.budget
	now := time.Now()
	b.mu.Lock()
	var victim *Conn
	var reason Reason
	if p.conns >= p.max || len(b.conns) >= b.maxConns {
		from := p
		if p.conns < p.max {
			from = nil
		}
		if victim, reason = b.leastNeeded(from, now); victim == nil {
			b.mu.Unlock()
			return nil
		}
		b.remove(victim)
	}
	c := &Conn{port: p, queues: queues, end: end}
	c.progressed.Store(now.UnixNano())
	b.conns[c] = struct{}{}
	p.conns++
	b.mu.Unlock()
	if victim != nil {
		victim.end(reason)
	}
	return c
}

// remove frees the place of a connection.
func (b *Budget) remove(c *Conn) {
	if _, ok := b.conns[c]; ok {
		delete(b.conns, c)
		c.port.conns--
	}
}

// leastNeeded ends the connection that is needed least, of one listener if one is given: one that made no
// progress for stallTime and never sent a whole request before all others, and the one that waits longest
// among them. It returns nil if all are busy.
func (b *Budget) leastNeeded(from *Port, now time.Time) (*Conn, Reason) {
	var candidates []*Conn
	for c := range b.conns {
		if (from == nil || c.port == from) && (state(c.state.Load()) == idle || c.isStalled(now)) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(x, y *Conn) int {
		if u, v := x.isUnused(now), y.isUnused(now); u != v {
			if u {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.progressed.Load(), y.progressed.Load())
	})
	for _, c := range candidates {
		if c.state.CompareAndSwap(int32(idle), int32(ended)) {
			return c, Idle
		}
		if c.endIfStalled(now) {
			return c, Stalled
		}
	}
	return nil, ""
}

// endStalled ends the connections that hold most and make least progress, until they hold at least n
// bytes together.
func (b *Budget) endStalled(n int64) {
	now := time.Now()
	var stalled []*Conn
	b.mu.Lock()
	for c := range b.conns {
		if c.held.Load() > 0 && c.isStalled(now) {
			stalled = append(stalled, c)
		}
	}
	b.mu.Unlock()
	slices.SortFunc(stalled, func(x, y *Conn) int { return cmp.Compare(y.cost(now), x.cost(now)) })
	for _, c := range stalled {
		if n <= 0 {
			return
		}
		held := c.held.Load()
		if c.endIfStalled(now) {
			c.end(Stalled)
			n -= held
		}
	}
}

// notify wakes the connections that wait for bytes.
func (b *Budget) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// hasQueue reports whether connections wait for bytes.
func (b *Budget) hasQueue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}
