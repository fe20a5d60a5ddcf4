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
	// expected is the demand for which a model was loaded. It counts until the entry instances have
	// reported theirs, which they do only for models that they know to be loaded.
	expected map[string]expectedDemand
}

type expectedDemand struct {
	requests float64
	until    time.Time
}

type entryDemand struct {
	updatedAt time.Time
	items     map[string]agentapi.Demand
}

func newDemand() demand {
	return demand{byEntry: make(map[string]entryDemand), lastUsed: make(map[string]time.Time), loadedAt: make(map[string]time.Time), expected: make(map[string]expectedDemand)}
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

// expect records the demand for which a model has been loaded.
func (d *demand) expect(name string, requests float64, now time.Time) {
	delete(d.expected, name)
	if requests > 0 {
		d.expected[name] = expectedDemand{requests, now.Add(demandTTL)}
	}
}

// usage sums up the demand that all entry instances report for a model or
// adapter. A model is also used by the requests for its adapters.
func (d *demand) usage(name string, now time.Time) modelplacement.Usage {
	u := modelplacement.Usage{LastUsed: d.lastUsed[name], LoadedAt: d.loadedAt[name], Copies: 1}
	for used, at := range d.lastUsed {
		if isAdapterOf(used, name) && at.After(u.LastUsed) {
			u.LastUsed = at
		}
	}
	for entry, e := range d.byEntry {
		if now.Sub(e.updatedAt) > demandTTL {
			delete(d.byEntry, entry)
			continue
		}
		for used, item := range e.items {
			if isAdapterOf(used, name) {
				u.InFlight += item.InFlight
			}
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
	if e, ok := d.expected[name]; ok && now.Before(e.until) {
		u.Demand = max(u.Demand, e.requests)
	}
	return u
}

// isAdapterOf reports whether name is MODEL/ADAPTER for the model.
func isAdapterOf(name, model string) bool {
	return len(name) > len(model) && name[len(model)] == '/' && name[:len(model)] == model
}
