package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	// maxConcurrentNotices is the maximum number of notices that are sent at once.
	maxConcurrentNotices = 32
	// noticeTimeout is the time limit of one notice.
	noticeTimeout = 500 * time.Millisecond
)

// crashNotifier sends crash notices to the entry instances and to the agents of
// one pool.
type crashNotifier struct {
	fleet *fleet
	// pool is the pool of this agent's upstream. It is empty at entry instances,
	// which notify all agents.
	pool string
}

var _ poison.Notifier = crashNotifier{}

// Notify implements poison.Notifier. It sends the notices in the background and
// does not wait for the responses.
func (n crashNotifier) Notify(ctx context.Context, notice poison.CrashNotice) {
	targets := n.targets(n.fleet.View())
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout(len(targets)))
		defer cancel()
		var g errgroup.Group
		g.SetLimit(maxConcurrentNotices)
		for _, m := range targets {
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
				defer cancel()
				return n.fleet.peers.Notice(ctx, m.PeerAddr, notice)
			})
		}
		// A failed notice needs no retry: the instance also reads the crash record
		// from the control stream.
		_ = g.Wait()
	}()
}

// notifyTimeout is the time limit for sending notices to all targets, which go
// out in batches of at most maxConcurrentNotices.
func notifyTimeout(targets int) time.Duration {
	return time.Duration(1+targets/maxConcurrentNotices) * noticeTimeout
}

func (n crashNotifier) targets(v *controlstate.View) []controlstate.Member {
	var out []controlstate.Member
	for _, m := range v.Members.All() {
		if m.Instance == n.fleet.self.Instance {
			continue
		}
		if m.Role == record.RoleEntry || n.pool == "" || m.Pool == n.pool {
			out = append(out, m)
		}
	}
	return out
}

// bootIDReader reads the boot id of an engine.
type bootIDReader struct {
	upstream engine.CheckpointLoader
}

var _ poison.BootIDReader = bootIDReader{}

// BootID implements poison.BootIDReader.
func (b bootIDReader) BootID(ctx context.Context) (string, error) {
	state, err := b.upstream.MemoryState(ctx)
	return state.BootID, err
}

// agentClient calls the agents that are members of the fleet.
type agentClient struct {
	fleet *fleet
}

var _ poison.AgentClient = agentClient{}

// BootStatus implements poison.AgentClient.
func (a agentClient) BootStatus(ctx context.Context, instance string) (poison.BootStatus, error) {
	m, ok := a.fleet.View().Members.Get(instance)
	if !ok {
		return poison.BootStatus{}, errkind.New(errkind.UpstreamUnavailable, "agent "+instance+" has left the fleet")
	}
	return a.fleet.peers.Boot(ctx, m.PeerAddr)
}
