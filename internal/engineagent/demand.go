package engineagent

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/modelplacement"
)

// demandTTL is how long an entry instance's demand counts after its last state
// call. An idle instance makes several calls in this time.
const demandTTL = 4 * time.Second

// demand collects the demand for models and adapters that entry instances
// report.
type demand struct {
	byEntry map[string]entryDemand
	// lastUsed is when an entry instance last sent a request for a model or
	// adapter to this engine, by name.
	lastUsed map[string]time.Time
	loadedAt map[string]time.Time
}

type entryDemand struct {
	updatedAt time.Time
	items     map[string]agentapi.Demand
}

func newDemand() demand {
	return demand{byEntry: make(map[string]entryDemand), lastUsed: make(map[string]time.Time), loadedAt: make(map[string]time.Time)}
}

func (d *demand) update(entry string, items []agentapi.Demand, now time.Time) {
	e := entryDemand{updatedAt: now, items: make(map[string]agentapi.Demand, len(items))}
	for _, item := range items {
		e.items[item.Name] = item
		if item.Sent > 0 || item.InFlight > 0 {
			d.lastUsed[item.Name] = now
		}
	}
	d.byEntry[entry] = e
}

// usage sums up the demand that all entry instances report for a model or
// adapter.
func (d *demand) usage(name string, now time.Time) modelplacement.Usage {
	u := modelplacement.Usage{LastUsed: d.lastUsed[name], LoadedAt: d.loadedAt[name], Copies: 1}
	for entry, e := range d.byEntry {
		if now.Sub(e.updatedAt) > demandTTL {
			delete(d.byEntry, entry)
			continue
		}
		item, ok := e.items[name]
		if !ok {
			continue
		}
		u.Demand += item.Requested
		u.InFlight += item.InFlight
		u.Copies = max(u.Copies, item.Copies)
		u.Elsewhere = max(u.Elsewhere, item.Elsewhere)
	}
	return u
}
