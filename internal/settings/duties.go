package settings

import (
	"fmt"
	"slices"
)

// Names of duties.
const (
	DutyUsage     = "usage"
	DutyAutoscale = "autoscale"
)

// Duties are the calls to the platform that are the duty of one entry instance at a time.
type Duties struct {
	// Addr takes the calls, IP:port. Without it there are no duties.
	Addr string `json:"addr,omitempty"`
	// Names are the duties, DutyUsage and DutyAutoscale. Unknown ones are ignored.
	Names []string `json:"names,omitempty"`
	// CallsPerS bounds the calls of all instances together, in calls a second; 0 is no bound.
	CallsPerS float64 `json:"calls_per_s,omitempty"`
}

// Has reports whether a duty is to be done.
func (d Duties) Has(name string) bool { return d.Addr != "" && slices.Contains(d.Names, name) }

// minDutyLeaseMS is below the platform's shortest lease and leaves calls a time in which they can
// succeed.
const minDutyLeaseMS = 300

func (d Duties) check(c *validator, b ManagedBounds) {
	if d.Addr == "" {
		return
	}
	c.address("duties.addr", d.Addr)
	if d.CallsPerS < 0 {
		c.add("duties.calls_per_s", fmt.Sprint(d.CallsPerS), "must not be negative")
	}
	if b.UsageWindowS <= 0 {
		c.add("bounds.usage_window_s", fmt.Sprint(b.UsageWindowS), "must be above 0")
	}
	if b.UsageLateS <= 0 {
		c.add("bounds.usage_late_s", fmt.Sprint(b.UsageLateS), "must be above 0")
	}
	if b.DutyLeaseMS < minDutyLeaseMS {
		c.add("bounds.duty_lease_ms", fmt.Sprint(b.DutyLeaseMS), fmt.Sprintf("must be at least %d", minDutyLeaseMS))
	}
}
