package routing

import "time"

// Result is how an attempt ended, as far as routing is concerned.
type Result int

// Results of an attempt.
const (
	// OK covers every answer of the upstream itself.
	OK Result = iota
	// Refused means that the agent took no work: upstream_busy, draining and
	// the like.
	Refused
	// Failed means that the connection or the upstream failed.
	Failed
	// Cancelled says nothing about the upstream.
	Cancelled
)

// Done ends an attempt that Choose counted. An upstream that refused or failed
// is not chosen for a time that doubles with each further refusal.
func (c *Chooser) Done(id string, result Result) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.get(id)
	u.own = max(0, u.own-1)
	switch result {
	case OK:
		u.wait.Reset()
		u.excludedUntil = time.Time{}
	case Refused, Failed:
		if !u.excluded(now) {
			u.excludedUntil = now.Add(u.wait.NextBackOff())
		}
	case Cancelled:
	}
}

// Report takes note of a load report.
func (c *Chooser) Report(r LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(r.Upstream).report(r)
}

// Cache takes note of a cache event. After a gap everything known of the
// upstream's cache is forgotten, because evictions may be among the lost
// events. Events that come out of order after a gap was seen are used alone.
func (c *Chooser) Cache(e CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.get(e.Upstream)
	if e.Seq > u.seq+1 && u.seq != 0 {
		u.generation++
	}
	if e.Seq <= u.seq && !e.Evicted {
		return
	}
	u.seq = max(u.seq, e.Seq)
	if e.Evicted {
		c.prefixes.drop(e.Prefix, u)
		return
	}
	c.prefixes.put(e.Prefix, u, time.Time{})
}
