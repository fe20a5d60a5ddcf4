package fleet

// RouteKind tells which requests of a route may be retried.
type RouteKind int

// Kinds of routes. An unknown kind is decoded as NonIdempotent, the strictest.
const (
	NonIdempotent RouteKind = iota
	Idempotent
	Streaming
)

// String implements fmt.Stringer.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}
