package modelplacement

// Kind is the kind of an action.
type Kind int

const (
	None Kind = iota
	Load
	Unload
)

// Action is the next order for the engine.
type Action struct {
	Kind  Kind
	Model string
	// FromStore means that the load fetches the weights from the weight store.
	FromStore bool
	// Reason is a short text for the log.
	Reason string
}
