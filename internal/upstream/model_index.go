package upstream

import (
	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// modelIndex finds the engines that may have a model loaded, or at hand: in memory, on
// disk, being loaded or waiting to be. It may list engines that no longer do, since
// reports also lapse with time, but it misses none.
type modelIndex struct {
	loaded, atHand map[copyKey]map[*state]struct{}
	// keys are what an engine is listed under.
	keys map[*state]indexKeys
}

type indexKeys struct{ loaded, atHand map[copyKey]struct{} }

func newModelIndex() modelIndex {
	return modelIndex{loaded: make(map[copyKey]map[*state]struct{}), atHand: make(map[copyKey]map[*state]struct{}), keys: make(map[*state]indexKeys)}
}

// update lists an engine under what its record and the agent's report say.
func (x *modelIndex) update(s *state) {
	keys := indexKeys{loaded: make(map[copyKey]struct{}), atHand: make(map[copyKey]struct{})}
	keys.add(s.upstream.Service, s.upstream.Holdings)
	if s.agent != nil {
		keys.add(s.upstream.Service, s.agent.Holdings)
		keys.addLoads(s.upstream.Service, s.agent)
	}
	old := x.keys[s]
	replaceKeys(x.loaded, s, old.loaded, keys.loaded)
	replaceKeys(x.atHand, s, old.atHand, keys.atHand)
	x.keys[s] = keys
}

func (x *modelIndex) remove(s *state) {
	replaceKeys(x.loaded, s, x.keys[s].loaded, nil)
	replaceKeys(x.atHand, s, x.keys[s].atHand, nil)
	delete(x.keys, s)
}

func (k *indexKeys) add(service string, h *fleet.Holdings) {
	if h == nil {
		return
	}
	for model := range h.Adapters {
		k.loaded[copyKey{service, model}] = struct{}{}
	}
	for _, model := range h.InMemory {
		k.atHand[copyKey{service, model}] = struct{}{}
	}
	for _, model := range h.OnDisk {
		k.atHand[copyKey{service, model}] = struct{}{}
	}
}

func (k *indexKeys) addLoads(service string, st *agentapi.State) {
	if st.Loading != "" {
		k.atHand[copyKey{service, st.Loading}] = struct{}{}
	}
	for _, model := range st.LoadQueue {
		k.atHand[copyKey{service, model}] = struct{}{}
	}
}

func replaceKeys(index map[copyKey]map[*state]struct{}, s *state, old, current map[copyKey]struct{}) {
	for key := range old {
		if _, ok := current[key]; ok {
			continue
		}
		delete(index[key], s)
		if len(index[key]) == 0 {
			delete(index, key)
		}
	}
	for key := range current {
		if index[key] == nil {
			index[key] = make(map[*state]struct{})
		}
		index[key][s] = struct{}{}
	}
}
