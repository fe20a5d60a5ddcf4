package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Figures of the choice of a model to displace.
const (
	// settled is how long a loaded model stays at least, unless nothing waits
	// for it: the request that it was loaded for has to reach it first.
	settled = 1500 * time.Millisecond
	// patience is how long a waiting request lets models with running requests
	// stay. The unload waits for those requests, a second or so.
	patience = 700 * time.Millisecond
	// prefetchGain of the demand of a background load is the most that a model displaced by it may
	// carry; two copies of about the same demand must not displace each other.
	prefetchGain = 0.6
)

// Next returns the next order, or none.
func Next(in Input) Action {
	wants := slices.Clone(in.LoadRequests)
	// Requests that wait come before background loads, and the oldest first.
	slices.SortStableFunc(wants, func(a, b LoadRequest) int {
		return cmp.Or(cmp.Compare(min(1, b.Waiting), min(1, a.Waiting)), a.Since.Compare(b.Since))
	})
	for _, w := range wants {
		if a := forWant(in, w); a.Kind != None {
			return a
		}
	}
	return Action{}
}

func forWant(in Input, w LoadRequest) Action {
	model, ok := in.Engine.Models[w.Model]
	if !ok || in.Holdings.HasModel(w.Model) || model.WeightsMB > in.Engine.WeightsMB {
		return Action{}
	}
	fromStore := !slices.Contains(in.Holdings.InMemory, w.Model) && !slices.Contains(in.Holdings.OnDisk, w.Model)
	if fromStore && (!in.StoreAllowed || w.Demand <= 0) {
		return Action{}
	}
	if FreeMemoryMB(in.Engine, in.Holdings) >= model.WeightsMB {
		return Action{Kind: Load, Model: w.Model, FromStore: fromStore, Reason: "there is room"}
	}
	victim, ok := displaced(in, w)
	if !ok {
		return Action{}
	}
	return Action{Kind: Unload, Model: victim, Reason: "makes room for " + w.Model}
}

// FreeMemoryMB returns the memory of an engine that is not taken, in MB.
func FreeMemoryMB(e *fleet.Engine, h *fleet.Holdings) float64 {
	free := e.WeightsMB
	for name, adapters := range h.Adapters {
		m := e.Models[name]
		free -= m.WeightsMB + float64(len(adapters))*m.AdapterMB
	}
	return free
}

// displaced chooses the model that is missed least.
func displaced(in Input, w LoadRequest) (string, bool) {
	type held struct {
		name  string
		use   Usage
		worth float64
	}
	var models []held
	for name := range in.Holdings.Adapters {
		u := in.Usage[name]
		if w.Waiting == 0 && (u.InFlight > 0 || worth(u) >= prefetchGain*w.Demand) {
			continue
		}
		if u.InFlight > 0 && in.Now.Sub(w.Since) < patience {
			continue
		}
		if in.Now.Sub(u.LoadedAt) < settled && in.Now.Sub(u.LastUsed) < settled {
			continue
		}
		models = append(models, held{name, u, worth(u)})
	}
	if len(models) == 0 {
		return "", false
	}
	least := slices.MinFunc(models, func(a, b held) int {
		return cmp.Or(
			cmp.Compare(min(1, a.use.InFlight), min(1, b.use.InFlight)),
			cmp.Compare(a.worth, b.worth), a.use.LastUsed.Compare(b.use.LastUsed), cmp.Compare(a.name, b.name))
	})
	return least.name, true
}

// worth is the demand that each copy of a model carries.
func worth(u Usage) float64 { return u.Demand / float64(max(1, u.Copies)) }
