// Package member maintains the membership of an instance in the fleet. The
// instance joins, and joins again with a new incarnation after the fleet has
// removed it. It also detects other members that have stopped sending messages,
// and removes them from the fleet with a `gone` record. If the reason in that
// record is `removed`, the instance also stops being a home (see
// controlstate.Homes) of any checkpoint, so that other instances can take its
// place.
package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

const (
	// UnlistedTimeout is the silence after which a member is removed if the
	// platform list does not include it or shows it as leaving.
	UnlistedTimeout = 10 * time.Second
	// ListedTimeout is the silence after which a member is removed whatever the
	// list says, since the list may show dead instances as live (F12). It is
	// also the silence required to remove a member with the reason `removed`.
	ListedTimeout = 60 * time.Second
	// CheckInterval is the interval of the liveness check.
	CheckInterval = time.Second
	// ProbeAfter is the silence after which a member is probed directly. A live
	// child that pulls from the standby of its parent sends its parent nothing.
	ProbeAfter = 3 * time.Second
	// probeTimeout is the deadline of one probe.
	probeTimeout = 2 * time.Second
	// listInterval is the minimum interval between reads of the platform list.
	listInterval = 5 * time.Second
	// listTimeout is the deadline of one read of the list.
	listTimeout = 5 * time.Second
	// pauseThreshold is the maximum time between two liveness checks. If it is
	// exceeded, this process was probably paused itself (F8), which makes all
	// members seem silent.
	pauseThreshold = 3 * time.Second
	// appendTimeout is the deadline of one append by this package.
	appendTimeout = 10 * time.Second
	// maxRejoinDelay limits the backoff between joins.
	maxRejoinDelay = 15 * time.Second
	// maxRemoteWatched limits the members of another data centre that a reader
	// watches while all readers there are silent.
	maxRemoteWatched = 64
)

// Replica is the part of a replica that this package uses.
type Replica interface {
	View() *controlstate.View
	Append(ctx context.Context, body record.Body) (controlstate.ApplyResult, backing.Offset, error)
	// MayDecide reports whether the view is recent enough for this instance to
	// append records.
	MayDecide() bool
	Changed() <-chan struct{}
	Drain()
}

// Relay is the part of relay.Relay that this package uses.
type Relay interface {
	Tree(dataCentre string) *relay.Tree
	TimeSinceLastMessage(m controlstate.Member) time.Duration
}

// Config holds the dependencies and settings of a Member.
type Config struct {
	Self     *relay.Self
	Role     record.Role
	PeerAddr string
	// Pool is the pool of the agent's upstream. Only agents set it.
	Pool    string
	Replica Replica
	Relay   Relay
	Dialer  relay.Dialer
	List    backing.InstanceList
	// Rand provides the jitter of retries.
	Rand *rand.Rand
	// NewIncarnation returns a random 128-bit id. If nil, the function
	// NewIncarnation is used.
	NewIncarnation func() string
}

// NewIncarnation returns a random 128-bit id.
func NewIncarnation() string { return uuid.NewString() }
