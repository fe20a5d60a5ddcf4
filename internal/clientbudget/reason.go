package clientbudget

// Reason is why a connection was refused or ended.
type Reason string

// Reasons.
const (
	// NoConnection: a new connection found no place.
	NoConnection Reason = "connections"
	// Idle: the connection waited for a request, and a new one needed its place.
	Idle Reason = "idle"
	// Stalled: the request or the reading of the response made too little progress while others
	// needed what the connection held.
	Stalled Reason = "stalled"
	// NoMemory: the request found no room for its bytes in time.
	NoMemory Reason = "memory"
	// Timeout: the request did not arrive in time.
	Timeout Reason = "timeout"
	// Framing: the length of the body is ambiguous.
	Framing Reason = "framing"
	// DuplicateHeader: a header that may be sent once was sent twice.
	DuplicateHeader Reason = "duplicate_header"
	// HeadTooLong: the head exceeds its limit.
	HeadTooLong Reason = "head_too_long"
	// BodyTooLong: the body exceeds its limit.
	BodyTooLong Reason = "body_too_long"
	// ChunksTooLong: the lines of the chunks or the trailer exceed their limit.
	ChunksTooLong Reason = "chunks_too_long"
	// Malformed: the bytes are no request.
	Malformed Reason = "malformed"
)
