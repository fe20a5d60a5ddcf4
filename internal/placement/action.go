package placement

// Kind is what an action does.
type Kind int

// Kinds of actions.
const (
	None Kind = iota
	Load
	Unload
)

// Action is the next order.
type Action struct {
	Kind  Kind
	Model string
	// FromStore tells that a load takes the weights from the weight store.
	FromStore bool
	// Reason is a short text for the log.
	Reason string
}
