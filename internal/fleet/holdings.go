package fleet

// Holdings are the models and adapters that an engine has loaded or stored locally.
type Holdings struct {
	// Adapters has an entry for each loaded model: its loaded adapters.
	Adapters map[string][]string
	// InMemory and OnDisk are models whose weights the engine has in memory or on
	// disk, so that they load faster than from the weight store.
	InMemory, OnDisk []string
}

// HasModel reports whether the model is loaded.
func (h *Holdings) HasModel(model string) bool {
	if h == nil {
		return false
	}
	_, ok := h.Adapters[model]
	return ok
}

// HasAdapter reports whether the adapter of the model is loaded; the empty
// adapter is the model itself.
func (h *Holdings) HasAdapter(model, adapter string) bool {
	if !h.HasModel(model) {
		return false
	}
	if adapter == "" {
		return true
	}
	for _, a := range h.Adapters[model] {
		if a == adapter {
			return true
		}
	}
	return false
}
