package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/member"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/platform/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/replica"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/snapshot"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// platformTimeout bounds a call to the platform beyond its long-poll wait.
const platformTimeout = 2 * time.Second

// fleet is an instance's part in the fleet: its copy of the control stream,
// its membership and the clients of other instances.
type fleet struct {
	*replica.Replica
	self   *relay.Self
	role   record.Role
	log    platform.Log
	peers  *peerapi.Client
	member *member.Member
	logger *zap.Logger
	config configClock
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
		Replica: f.Replica, Hearing: f.Relay(), Dialer: peers.Dialer(), List: list, Rand: newRand(),
	})
	return f, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Self returns the present incarnation.
func (f *fleet) Self() record.HomeRef {
	return record.HomeRef{Instance: f.self.Instance, Incarnation: f.self.Incarnation()}
}

// Age returns the upper bound of the view's age.
func (f *fleet) Age() time.Duration { return f.Freshness().Age() }

// start follows the control stream and joins.
func (f *fleet) start(ctx context.Context) {
	f.Start(ctx)
	f.member.Start(ctx)
	writer := snapshot.NewWriter(f.log, f.Replica, f.self)
	go writer.Run(ctx, func(err error) { f.logger.Warn("snapshot not written", telemetry.Err(err)) })
	go f.watchConfig(ctx)
}

func (f *fleet) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Changed()
		f.config.observe(f.View())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// waitJoined returns when this incarnation is a member with a young view.
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

// leave records the departure of this incarnation.
func (f *fleet) leave(ctx context.Context) error { return f.member.Leave(ctx) }

// weight returns the team's part in fair sharing.
func (f *fleet) weight(team string) float64 {
	t, _ := f.View().Teams.Get(team)
	return t.Weight
}
