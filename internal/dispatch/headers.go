// Package dispatch is the protocol by which an entry instance dispatches a request to
// an agent. Each attempt is one POST, and its response is a stream of server-sent
// events.
package dispatch

// PathRun is the agents' path for running attempts.
const PathRun = "/attempts/run"

// Headers of an attempt request. Its body is the body of the caller's request,
// unchanged.
const (
	headerAttempt     = "X-Jacinthbend-Attempt"
	headerIncarnation = "X-Jacinthbend-Incarnation"
	headerTeam        = "X-Jacinthbend-Team"
	headerCheckpoint  = "X-Jacinthbend-Checkpoint"
	headerRoute       = "X-Jacinthbend-Route"
	headerMethod      = "X-Jacinthbend-Method"
	headerPath        = "X-Jacinthbend-Path"
	headerClass       = "X-Jacinthbend-Class"
	headerDigest      = "X-Jacinthbend-Digest"
	headerTimeoutMS   = "X-Jacinthbend-Timeout-Ms"
	headerStream      = "X-Jacinthbend-Stream"
	headerKey         = "X-Jacinthbend-Idempotency-Key"
	headerOnce        = "X-Jacinthbend-Once"
	headerBoot        = "X-Jacinthbend-Boot"
	headerOffset      = "X-Jacinthbend-Offset"
)

// Event types of a response. A data event has no type, so that a chunk takes no
// more bytes than in the stream to the caller. An event of type whole carries a
// response that is not streamed.
const (
	eventPing  = "ping"
	eventWhole = "whole"
	eventEnd   = "end"
	eventError = "error"
)
