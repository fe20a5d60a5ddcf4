// Package member keeps an instance in the fleet: it joins, joins again when
// the fleet has ended its incarnation, and ends the incarnations of members
// that have fallen silent.
package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

const (
	// SilentUnlisted ends a silent member that the platform list lacks or shows
	// as leaving.
	SilentUnlisted = 10 * time.Second
	// SilentListed ends a silent member whatever the list says, since the list
	// may show dead instances as live (F12). It is also the silence that
	// `removed` needs.
	SilentListed = 60 * time.Second
	// WatchEvery is the interval of the liveness check.
	WatchEvery = time.Second
	// ProbeAfter is the silence after which a member is asked directly: a child
	// that follows its standby parent is silent towards its parent and alive.
	ProbeAfter = 3 * time.Second
	// probeTimeout ends one probe.
	probeTimeout = 2 * time.Second
	// listEvery limits the reads of the platform list.
	listEvery = 5 * time.Second
	// listTimeout ends one read of the list.
	listTimeout = 5 * time.Second
	// pausedAfter is the distance between two checks that shows that this
	// process itself was paused (F8): everyone seems silent then.
	pausedAfter = 3 * time.Second
	// appendTimeout bounds the wait for an own decision.
	appendTimeout = 10 * time.Second
	// rejoinPauseMax bounds the pause between joins.
	rejoinPauseMax = 15 * time.Second
	// crossWatch is the number of members of another data centre that a reader
	// watches when all readers there are silent.
	crossWatch = 64
)

// Replica is what membership needs of a replica.
type Replica interface {
	View() *fold.View
	Append(ctx context.Context, body record.Body) (fold.ApplyResult, platform.Offset, error)
	// MayDecide reports whether appends are allowed.
	MayDecide() bool
	Changed() <-chan struct{}
	Drain()
}

// Hearing tells what the relay has heard of members.
type Hearing interface {
	Order(dataCentre string) *relay.Order
	LastHeard(m fold.Member) time.Duration
}

// Config is what a Member needs.
type Config struct {
	Self     *relay.Self
	Role     record.Role
	PeerAddr string
	// Pool is the pool of the agent's upstream; agents only.
	Pool    string
	Replica Replica
	Hearing Hearing
	Dialer  relay.Dialer
	List    platform.InstanceList
	// Rand spreads retries.
	Rand *rand.Rand
	// NewIncarnation returns a random 128-bit id; nil means NewIncarnation.
	NewIncarnation func() string
}

// NewIncarnation returns a random 128-bit id.
func NewIncarnation() string { return uuid.NewString() }
