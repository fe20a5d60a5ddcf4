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
func Next(in Input) Action {
	requests := slices.Clone(in.LoadRequests)
	SortRequests(requests)
	for _, r := range requests {
		if a := actionFor(in, r); a.Kind != None {
			return a
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

func actionFor(in Input, r LoadRequest) Action {
	model, ok := in.Engine.Models[r.Model]
	if !ok || in.Holdings.HasModel(r.Model) || model.WeightsMB > in.Engine.MemoryMB {
		return Action{}
	}
	fromStore := !slices.Contains(in.Holdings.InMemory, r.Model) && !slices.Contains(in.Holdings.OnDisk, r.Model)
	if fromStore && (!in.StoreAllowed || r.Demand <= 0) {
		return Action{}
	}
	if FreeMemoryMB(in.Engine, in.Holdings) >= model.WeightsMB {
		return Action{Kind: Load, Model: r.Model, FromStore: fromStore, Reason: "enough free memory"}
	}
	victim, ok := chooseVictim(in, r, fromStore)
	if !ok {
		return Action{}
	}
	return Action{Kind: Unload, Model: victim, Reason: "frees memory for " + r.Model}
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

// victim is a loaded model that may be unloaded.
type victim struct {
	name          string
	usage         Usage
	demandPerCopy float64
	// lastCopy tells that only the weight store would have the model afterwards.
	lastCopy bool
}

// chooseVictim chooses the model to unload for r. It prefers models without running requests, then those
// of which another copy remains outside the weight store, and among them the one with the least demand
// per copy.
//
// It answers a shift of demand among more models than fit: to displace the only copy of a model that is
// asked for next exchanges one missing model for another.
func chooseVictim(in Input, r LoadRequest, fromStore bool) (string, bool) {
	var candidates []victim
	for name := range in.Holdings.Adapters {
		if v := newVictim(in, name, fromStore); mayDisplace(in, r, v) {
			candidates = append(candidates, v)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, compareVictims).name, true
}

// newVictim describes a loaded model. If the load that displaces it comes from the weight store, the new
// copy on the engine's disk may take the place of the one that remains of it.
func newVictim(in Input, name string, fromStore bool) victim {
	u := in.Usage[name]
	atHand := !fromStore && (slices.Contains(in.Holdings.InMemory, name) || slices.Contains(in.Holdings.OnDisk, name))
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
		cmp.Compare(min(1, a.usage.InFlight), min(1, b.usage.InFlight)), compareBool(a.lastCopy, b.lastCopy),
		cmp.Compare(a.demandPerCopy, b.demandPerCopy), a.usage.LastUsed.Compare(b.usage.LastUsed), cmp.Compare(a.name, b.name))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
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
