package fleet

// OrderKind is what an order asks of an engine.
type OrderKind int

// Kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order changes what an engine holds.
type Order struct {
	Kind OrderKind
	// Adapter is empty for an order about the model itself.
	Model, Adapter string
	// ExpectedSequence is the sequence that the engine must have for the order to be
	// carried out. An order whose answer was lost may be carried out seconds
	// later, and only one of several with the same value is.
	ExpectedSequence int64
	// Holder and Fence name who orders.
	Holder string
	Fence  int64
	// Instance is the only start of an engine that may carry it out.
	Instance string
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// Results of orders.
const (
	// OrderUnknown means that no answer came; the order may still be carried out.
	OrderUnknown OrderResult = iota
	OrderAccepted
	// OrderAlreadyApplied means that what was ordered is so already.
	OrderAlreadyApplied
	// OrderConflict means that another order is under way or the sequence differs.
	OrderConflict
	// OrderFenced means that an order with a higher fence was seen.
	OrderFenced
	// OrderRejected means that the engine cannot carry it out.
	OrderRejected
	// OrderMisdirected means that another engine has the address.
	OrderMisdirected
)

// String implements fmt.Stringer.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "rejected", "misdirected"}[r]
}
