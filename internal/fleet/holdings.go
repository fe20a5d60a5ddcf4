package fleet

// Holdings is what a model engine holds.
type Holdings struct {
	// Adapters has the loaded adapters by loaded model.
	Adapters map[string][]string
	// InMemory and OnDisk are the models that load fast.
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
