package routing

import "time"

// Result is what the end of an attempt says about the upstream.
type Result int

// Results of an attempt.
const (
	// OK means that the upstream answered, whatever the answer.
	OK Result = iota
	// Refused means that the agent did not accept the request, because it is
	// busy or draining for example.
	Refused
	// Failed means that the connection or the upstream failed.
	Failed
	// Cancelled says nothing about the upstream.
	Cancelled
)

// Done ends an attempt that Choose counted as in flight. An upstream that refused
// or failed is excluded for a time that doubles with each further refusal or
// failure.
func (c *Chooser) Done(id string, result Result) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	u.ownInFlight = max(0, u.ownInFlight-1)
	switch result {
	case OK:
		u.exclusionBackoff.Reset()
		u.excludedUntil = time.Time{}
	case Refused, Failed:
		if !u.excluded(now) {
			u.excludedUntil = now.Add(u.exclusionBackoff.NextBackOff())
		}
	case Cancelled:
	}
}

// Report updates the load of an upstream from a report.
func (c *Chooser) Report(r LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(r.Upstream).updateLoad(r)
}

// Cache records a cache event of an upstream. A gap in the sequence numbers
// invalidates all earlier entries of the upstream, because evictions may be among
// the lost events. An event with a lower number than one seen before is late: it is
// ignored unless it is an eviction.
func (c *Chooser) Cache(e CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(e.Upstream)
	if e.Seq > u.lastSeq+1 && u.lastSeq != 0 {
		u.generation++
	}
	if e.Seq <= u.lastSeq && !e.Evicted {
		return
	}
	u.lastSeq = max(u.lastSeq, e.Seq)
	if e.Evicted {
		c.prefixes.remove(e.Prefix, u)
		return
	}
	c.prefixes.put(e.Prefix, u, time.Time{})
}
