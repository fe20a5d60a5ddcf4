package modelplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Parameters of the choice of a model to unload.
const (
	// minResidency is how long after its load a model is kept, unless no request was
	// sent to it within this time: the request for which it was loaded has to reach
	// it before it is unloaded.
	minResidency = 1500 * time.Millisecond
	// busyModelGrace is how long a request must have waited before a model with
	// running requests may be unloaded for it. The engine unloads the model when
	// those requests have ended, after about a second.
	busyModelGrace = 700 * time.Millisecond
	// maxVictimDemandRatio limits which models a background load may displace:
	// the demand per copy of the victim must be below this fraction of the
	// demand for the new copy, so that two models of about the same demand do not
	// displace each other.
	maxVictimDemandRatio = 0.6
	// minLastCopyDemand is the demand for a background load from which on it may displace the last copy
	// of a model outside the weight store, in requests, and maxLastCopyDemandRatio limits the demand for
	// that model. To load it again takes ten seconds and keeps the weight store from loading another one,
	// so such an exchange only pays for a model that callers ask for now.
	minLastCopyDemand      = 2.5
	maxLastCopyDemandRatio = 0.2
)

// Next returns the next action, of kind None if there is nothing to do.
//
// It answers requests for models of different sizes: while a load that callers wait for lacks memory, no load
// after it takes what has been freed for it. Otherwise an engine that unloads a small model for a large one
// would load the small one again, and so on without an end.
func Next(in Input) Action {
	requests := slices.Clone(in.LoadRequests)
	SortRequests(requests)
	for _, r := range requests {
		a, lacksMemory := actionFor(in, r)
		if a.Kind != None {
			return a
		}
		if lacksMemory && r.Waiting > 0 {
			break
		}
	}
	return Action{}
}

// SortRequests sorts requests by the order in which they are carried out: loads for which
// requests wait come before background loads, and older requests first.
func SortRequests(requests []LoadRequest) {
	slices.SortStableFunc(requests, func(a, b LoadRequest) int {
		return cmp.Or(cmp.Compare(min(1, b.Waiting), min(1, a.Waiting)), a.Since.Compare(b.Since))
	})
}

// actionFor returns the next action for one request. lacksMemory tells that there is none because the
// models that may be unloaded now do not free enough memory.
func actionFor(in Input, r LoadRequest) (a Action, lacksMemory bool) {
	model, ok := in.Engine.Models[r.Model]
	if !ok || in.Holdings.HasModel(r.Model) || model.WeightsMB > in.Engine.MemoryMB {
		return Action{}, false
	}
	fromStore := !slices.Contains(in.Holdings.InMemory, r.Model) && !slices.Contains(in.Holdings.OnDisk, r.Model)
	if fromStore && (!in.StoreAllowed || r.Demand <= 0) {
		return Action{}, false
	}
	missing := model.WeightsMB - FreeMemoryMB(in.Engine, in.Holdings)
	if missing <= 0 {
		return Action{Kind: Load, Model: r.Model, FromStore: fromStore, Reason: "enough free memory"}, false
	}
	victim, ok := chooseVictim(in, r, fromStore, missing)
	if !ok {
		return Action{}, true
	}
	return Action{Kind: Unload, Model: victim, Reason: "frees memory for " + r.Model}, false
}

// FreeMemoryMB returns the memory in MB that the loaded models and adapters
// leave free.
func FreeMemoryMB(e *fleet.Engine, h *fleet.Holdings) float64 {
	free := e.MemoryMB
	for name, adapters := range h.Adapters {
		m := e.Models[name]
		free -= m.WeightsMB + float64(len(adapters))*m.AdapterMB
	}
	return free
}

// FreeDiskMB returns the space in MB that the copies of weights leave free on the engine's disk, 0 if its
// size is unknown.
func FreeDiskMB(e *fleet.Engine, h *fleet.Holdings) float64 {
	free := e.DiskMB
	for _, name := range h.OnDisk {
		free -= e.Models[name].WeightsMB
	}
	return max(0, free)
}

// victim is a loaded model that may be unloaded.
type victim struct {
	name          string
	usage         Usage
	demandPerCopy float64
	// lastCopy tells that only the weight store would have the model afterwards.
	lastCopy bool
}

// chooseVictim chooses the model to unload for r, the first of those that together free the missing memory.
// It prefers models without running requests, then those of which another copy remains outside the weight
// store, and among them the ones with the least demand per copy. If all that may be unloaded now do not free
// enough, it chooses one only for a load that callers wait for, which gets the rest when it may.
//
// It answers a shift of demand among more models than fit: to displace the only copy of a model that is
// asked for next exchanges one missing model for another.
func chooseVictim(in Input, r LoadRequest, fromStore bool, missing float64) (string, bool) {
	var candidates []victim
	diskFull := fromStore && FreeDiskMB(in.Engine, in.Holdings) < in.Engine.Models[r.Model].WeightsMB
	for name := range in.Holdings.Adapters {
		if v := newVictim(in, name, diskFull); mayDisplace(in, r, v) {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, compareVictims)
	freed := 0.0
	var victims []victim
	for _, v := range candidates {
		if freed >= missing {
			break
		}
		victims = append(victims, v)
		freed += loadedMB(in, v.name)
	}
	if len(victims) == 0 || freed < missing && r.Waiting == 0 {
		return "", false
	}
	// The last one may free enough without those before it.
	for len(victims) > 1 && freed-loadedMB(in, victims[0].name) >= missing {
		freed -= loadedMB(in, victims[0].name)
		victims = victims[1:]
	}
	return victims[0].name, true
}

// loadedMB returns the memory that a loaded model takes with its adapters, in MB.
func loadedMB(in Input, name string) float64 {
	m := in.Engine.Models[name]
	return m.WeightsMB + float64(len(in.Holdings.Adapters[name]))*m.AdapterMB
}

// newVictim describes a loaded model. If the load that displaces it comes from the weight store and the
// engine's disk is full, the new copy on the disk may take the place of the one that remains of it.
func newVictim(in Input, name string, diskFull bool) victim {
	u := in.Usage[name]
	atHand := !diskFull && (slices.Contains(in.Holdings.InMemory, name) || slices.Contains(in.Holdings.OnDisk, name))
	return victim{name: name, usage: u, demandPerCopy: demandPerCopy(u), lastCopy: !atHand && u.Elsewhere == 0 && u.Copies <= 1}
}

// mayDisplace reports whether v may be unloaded for r.
func mayDisplace(in Input, r LoadRequest, v victim) bool {
	background := r.Waiting == 0
	switch {
	case background && (v.usage.InFlight > 0 || v.demandPerCopy >= maxVictimDemandRatio*r.Demand):
		return false
	case background && v.lastCopy && (r.Demand < minLastCopyDemand || v.demandPerCopy >= maxLastCopyDemandRatio*r.Demand):
		return false
	case v.usage.InFlight > 0 && in.Now.Sub(r.Since) < busyModelGrace:
		return false
	default:
		return in.Now.Sub(v.usage.LoadedAt) >= minResidency || in.Now.Sub(v.usage.LastUsed) >= minResidency
	}
}

func compareVictims(a, b victim) int {
	return cmp.Or(
		cmp.Compare(min(1, a.usage.InFlight), min(1, b.usage.InFlight)), CompareBool(a.lastCopy, b.lastCopy),
		cmp.Compare(a.demandPerCopy, b.demandPerCopy), a.usage.LastUsed.Compare(b.usage.LastUsed), cmp.Compare(a.name, b.name))
}

// CompareBool orders false before true.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func demandPerCopy(u Usage) float64 { return u.Demand / float64(max(1, u.Copies)) }
