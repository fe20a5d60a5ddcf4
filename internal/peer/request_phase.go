package peer

// requestPhase is how far a connection is with a request.
type requestPhase int

const (
	// phaseAwaiting: no byte of the next request was read.
	phaseAwaiting requestPhase = iota
	// phaseHead: the head is being read.
	phaseHead
	// phaseBody: the body is being read.
	phaseBody
	// phaseHandled: the handler has the request.
	phaseHandled
)
