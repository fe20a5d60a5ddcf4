// Package relay distributes the control stream. In each data centre a few
// members, the readers, read it from the log. The others pull it from their
// parent in a relay tree, and every member serves it to its children.
package relay

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// Peer is the relay of another instance. Clients implement it over HTTP, tests
// with fakes, and Relay for the serving side.
type Peer interface {
	// Pull returns the records after a given offset (/relay/records).
	Pull(ctx context.Context, req PullRequest) (PullResponse, error)
	// Snapshot returns the peer's whole view (/relay/snapshot).
	Snapshot(ctx context.Context, req SnapshotRequest) (SnapshotResponse, error)
	// Status returns the peer's offset and ages (/relay/contact).
	Status(ctx context.Context, req StatusRequest) (StatusResponse, error)
}

// Dialer returns a Peer for addr (IP:port). Peer does not open a connection.
type Dialer interface {
	Peer(addr string) Peer
}

// Sender identifies the instance that sends a request.
type Sender struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Offset is the highest offset that the sender knows of.
	Offset backing.Offset `json:"offset"`
}

// PullRequest asks for the records after From. If there are none, the parent
// holds the request for up to Wait. It answers earlier once its own age is at
// least MinAgeImprovement lower than the age of the child.
type PullRequest struct {
	Sender
	From backing.Offset `json:"from"`
	Wait time.Duration  `json:"wait_ns"`
	// Age is the value of the sender's freshness.Tracker.Age when it sent the
	// request: the lower of its view age and outage age.
	Age time.Duration `json:"age_ns"`
}

// PullResponse carries records, and the parent's ages at the time of the
// response.
type PullResponse struct {
	Records []backing.Record `json:"records,omitempty"`
	// Offset is the parent's highest offset.
	Offset backing.Offset `json:"offset"`
	// Expired is set if the parent no longer buffers the first requested
	// record.
	Expired bool `json:"expired,omitempty"`
	// ViewAge is the age of the parent's view. OutageAge is the time since the
	// log was last known to be down for all instances. Both are in nanoseconds.
	ViewAge   time.Duration `json:"view_age_ns"`
	OutageAge time.Duration `json:"outage_age_ns"`
	// Held is how long the parent held the request, in nanoseconds. The child
	// subtracts it from the round-trip time, so that only transit adds to the
	// ages.
	Held time.Duration `json:"held_ns"`
}

// SnapshotRequest asks for the whole view.
type SnapshotRequest struct {
	Sender
	// From is the offset of the sender's view. The sender ignores a snapshot that
	// is not newer.
	From backing.Offset `json:"from"`
}

// SnapshotResponse carries a whole view.
type SnapshotResponse struct {
	Offset backing.Offset       `json:"offset"`
	Chunks []controlstate.Chunk `json:"chunks"`
}

// StatusRequest asks for a peer's status. The receiver also takes it as a sign
// that the sender is alive.
type StatusRequest struct {
	Sender
}

// StatusResponse carries a peer's incarnation, offset and ages.
type StatusResponse struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Offset is the highest offset that the peer knows of.
	Offset backing.Offset `json:"offset"`
	// Reader is set if the peer reads the log directly.
	Reader bool          `json:"reader"`
	LogAge time.Duration `json:"log_age_ns"`
	// LogFails is set if the log reads of the peer fail, see
	// freshness.LogHealth.
	LogFails bool          `json:"log_fails"`
	ViewAge  time.Duration `json:"view_age_ns"`
}
