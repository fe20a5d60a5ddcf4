package fleet

// OrderKind is what an order tells an engine to do.
type OrderKind int

// Kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order tells an engine to load or unload a model or an adapter.
type Order struct {
	Kind OrderKind
	// Adapter is empty if the order concerns the model itself.
	Model, Adapter string
	// ExpectedSequence is the EngineReport.Sequence that the engine must have to
	// accept the order. An order may reach the engine seconds after its sender gave
	// up waiting for the answer; of several orders with the same value, the engine
	// accepts only one.
	ExpectedSequence int64
	// Holder is the name of the sender. Fence is its fencing token: the engine
	// refuses an order whose token is lower than the highest that it has seen.
	Holder string
	Fence  int64
	// Instance is the id of the only engine instance that may execute the order.
	Instance string
}

// OrderResult is the result of sending an order to an engine.
type OrderResult int

// Results of orders.
const (
	// OrderUnknown means that there was no answer; the engine may still execute the
	// order.
	OrderUnknown OrderResult = iota
	OrderAccepted
	// OrderAlreadyApplied means that the engine is already in the ordered state.
	OrderAlreadyApplied
	// OrderConflict means that the engine is executing another order, or that its
	// sequence is not ExpectedSequence.
	OrderConflict
	// OrderFenced means that the engine has seen an order with a higher Fence.
	OrderFenced
	// OrderRejected means that the engine cannot execute the order.
	OrderRejected
	// OrderMisdirected means that another engine instance now has the address.
	OrderMisdirected
)

// String implements fmt.Stringer.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "rejected", "misdirected"}[r]
}
