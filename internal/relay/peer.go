// Package relay distributes the control stream: readers pull it from the log,
// other members from relay parents, and each serves it to its children.
package relay

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// Peer is another instance. HTTP clients and fakes stand behind it; Relay
// implements it for the serving side.
type Peer interface {
	// Pull returns records after a given offset, GET /relay/records.
	Pull(ctx context.Context, q PullRequest) (PullResponse, error)
	// Snapshot returns the peer's whole view, GET /relay/snapshot.
	Snapshot(ctx context.Context, q SnapshotRequest) (SnapshotResponse, error)
	// Status asks for the peer's ages, POST /relay/contact.
	Status(ctx context.Context, q StatusRequest) (StatusResponse, error)
}

// Dialer returns the peer that listens on addr (IP:port). It opens no
// connection itself.
type Dialer interface {
	Peer(addr string) Peer
}

// Sender identifies who sends a request.
type Sender struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Offset is the highest offset that the sender knows of.
	Offset platform.Offset `json:"offset"`
}

// PullRequest asks for the records after From. With none, the parent holds the
// request for up to Wait, or until it has a view that is RefreshGain younger
// than Age.
type PullRequest struct {
	Sender
	From platform.Offset `json:"from"`
	Wait time.Duration   `json:"wait_ns"`
	// Age is the age at the sender that governs its work.
	Age time.Duration `json:"age_ns"`
}

// PullResponse carries records and the parent's ages when it answered.
type PullResponse struct {
	Records []platform.Record `json:"records,omitempty"`
	// Offset is the parent's highest offset.
	Offset platform.Offset `json:"offset"`
	// Expired tells that the parent keeps no records as old as asked for.
	Expired bool `json:"expired,omitempty"`
	// ViewAge and OutageAge are the parent's ages, in nanoseconds.
	ViewAge   time.Duration `json:"view_age_ns"`
	OutageAge time.Duration `json:"outage_age_ns"`
	// Held is how long the parent held the request, in nanoseconds. The child
	// subtracts it from its own waiting time, so that a long poll does not
	// count as transit.
	Held time.Duration `json:"held_ns"`
}

// SnapshotRequest asks for the whole view.
type SnapshotRequest struct {
	Sender
	// From is the offset of the sender's view; an older snapshot is of no use.
	From platform.Offset `json:"from"`
}

// SnapshotResponse carries a whole view.
type SnapshotResponse struct {
	Offset platform.Offset `json:"offset"`
	Chunks []fold.Chunk    `json:"chunks"`
}

// StatusRequest asks for a peer's ages. It also proves the peer alive.
type StatusRequest struct {
	Sender
}

// StatusResponse tells a peer's incarnation, offset and ages.
type StatusResponse struct {
	Instance    string          `json:"instance"`
	Incarnation string          `json:"incarnation"`
	Offset      platform.Offset `json:"offset"`
	// Reader tells that the peer reads the log itself.
	Reader bool          `json:"reader"`
	LogAge time.Duration `json:"log_age_ns"`
	// LogFails tells that the log fails for the peer, see freshness.LogHealth.
	LogFails bool          `json:"log_fails"`
	ViewAge  time.Duration `json:"view_age_ns"`
}
