package fleet

// CacheEvents is an engine's answer to a call for changes of its prompt cache.
type CacheEvents struct {
	// Epoch changes when the engine restarts.
	Epoch string
	// Next is where the next call continues.
	Next string
	// Lost tells that events between the asked position and the first of Events are missing.
	Lost   bool
	Events []CacheEvent
	// Refused tells that the engine holds too many such calls, and Failure why the answer cannot
	// be used otherwise; the other fields are empty then.
	Refused bool
	Failure string
}

// CacheEvent tells that a prompt part is cached with Tokens tokens, or that it no longer is,
// with 0.
type CacheEvent struct {
	// Number orders the events of an epoch, which may arrive late; 0 is unknown.
	Number int64
	ID     string
	// Name is MODEL or MODEL/ADAPTER.
	Name   string
	Tokens int
}
