package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/backing/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/member"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/replica"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/snapshot"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// platformTimeout is the time limit of a call to the platform, in addition to
// the wait of a long poll.
const platformTimeout = 2 * time.Second

// fleet is an instance's access to the fleet: its replica of the control
// stream, its membership, and the clients for calls to other instances.
type fleet struct {
	*replica.Replica
	self         *relay.Self
	role         record.Role
	log          backing.Log
	peers        *peerapi.Client
	member       *member.Member
	logger       *zap.Logger
	configChange configChangeTracker
}

func newFleet(s settings.Common, role record.Role, pool string, logger *zap.Logger) (*fleet, error) {
	log, err := httpapi.NewLog(s.Platform.LogAddr, platformTimeout)
	if err != nil {
		return nil, err
	}
	list, err := httpapi.NewInstanceList(s.Platform.ListAddr, platformTimeout)
	if err != nil {
		return nil, err
	}
	peers, err := peerapi.NewClient()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		self:   relay.NewSelf(s.Instance, s.DataCentre, uuid.NewString()),
		role:   role,
		log:    log,
		peers:  peers,
		logger: logger,
	}
	f.Replica = replica.New(replica.Config{Self: f.self, Log: log, Dialer: peers.Dialer(), Seeds: s.Seeds, Rand: newRand()})
	f.member = member.New(member.Config{
		Self: f.self, Role: role, PeerAddr: s.PeerAddr, Pool: pool,
		Replica: f.Replica, Relay: f.Relay(), Dialer: peers.Dialer(), List: list, Rand: newRand(),
	})
	return f, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Self returns the reference to this instance's current incarnation.
func (f *fleet) Self() record.InstanceRef {
	return record.InstanceRef{Instance: f.self.Instance, Incarnation: f.self.Incarnation()}
}

// Age returns the upper bound of the view's age.
func (f *fleet) Age() time.Duration { return f.Freshness().Age() }

// start starts to follow the control stream and to join the fleet.
func (f *fleet) start(ctx context.Context) {
	f.Start(ctx)
	f.member.Start(ctx)
	writer := snapshot.NewWriter(f.log, f.Replica, f.self)
	go writer.Run(ctx, func(err error) { f.logger.Warn("failed to write a snapshot", telemetry.Err(err)) })
	go f.watchConfig(ctx)
}

func (f *fleet) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Changed()
		f.configChange.observe(f.View())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// waitJoined returns when this incarnation is a member of the fleet and its
// view is fresh enough to work.
func (f *fleet) waitJoined(ctx context.Context) error {
	for {
		changed := f.Changed()
		if f.MayWork() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "join the fleet")
		}
	}
}

// leave appends the record that this incarnation has left the fleet.
func (f *fleet) leave(ctx context.Context) error { return f.member.Leave(ctx) }

// teamWeight returns the team's weight in fair sharing.
func (f *fleet) teamWeight(team string) float64 {
	t, _ := f.View().Teams.Get(team)
	return t.Weight
}
