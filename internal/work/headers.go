// Package work is the protocol by which an entry instance gives an agent a
// request to run: one POST per attempt, answered by server-sent events.
package work

// PathRun is where agents take work.
const PathRun = "/attempts/run"

// Headers of a work request. The body is the caller's, unchanged.
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

// Events of an answer. Data events have no type, so that a chunk costs no
// more bytes than on the caller's own stream.
const (
	eventPing  = "ping"
	eventWhole = "whole"
	eventEnd   = "end"
	eventError = "error"
)
