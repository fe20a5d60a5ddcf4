package engineagent

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/placement"
)

// demandAge is how long an entry instance's demand counts after its last call,
// some calls of a calm instance.
const demandAge = 4 * time.Second

// demand collects what entry instances say of models and adapters.
type demand struct {
	from map[string]fromEntry
	// lastUsed is when a request was last sent here, by name.
	lastUsed map[string]time.Time
	loadedAt map[string]time.Time
}

type fromEntry struct {
	at    time.Time
	items map[string]agentapi.Demand
}

func newDemand() demand {
	return demand{from: make(map[string]fromEntry), lastUsed: make(map[string]time.Time), loadedAt: make(map[string]time.Time)}
}

func (d *demand) heard(entry string, items []agentapi.Demand, now time.Time) {
	f := fromEntry{at: now, items: make(map[string]agentapi.Demand, len(items))}
	for _, it := range items {
		f.items[it.Name] = it
		if it.Sent > 0 || it.InFlight > 0 {
			d.lastUsed[it.Name] = now
		}
	}
	d.from[entry] = f
}

// use sums up what all entry instances say of a model or adapter.
func (d *demand) use(name string, now time.Time) placement.Use {
	u := placement.Use{LastUsed: d.lastUsed[name], LoadedAt: d.loadedAt[name], Copies: 1}
	for entry, f := range d.from {
		if now.Sub(f.at) > demandAge {
			delete(d.from, entry)
			continue
		}
		it, ok := f.items[name]
		if !ok {
			continue
		}
		u.Asked += it.Requested
		u.InFlight += it.InFlight
		u.Copies = max(u.Copies, it.Copies)
	}
	return u
}
