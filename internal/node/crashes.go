package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	// noticeFanOut bounds the notices sent at once.
	noticeFanOut = 32
	// noticeTimeout bounds one notice.
	noticeTimeout = 500 * time.Millisecond
)

// notifier tells the entry instances and the agents of one pool of a crash.
type notifier struct {
	fleet *fleet
	// pool is the pool of the own upstream; empty at entry instances, which tell
	// all agents.
	pool string
}

var _ poison.Notifier = notifier{}

// Notify implements poison.Notifier. It does not wait for the answers.
func (n notifier) Notify(ctx context.Context, notice poison.Notice) {
	targets := n.targets(n.fleet.View())
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), noticeBound(len(targets)))
		defer cancel()
		var g errgroup.Group
		g.SetLimit(noticeFanOut)
		for _, m := range targets {
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
				defer cancel()
				return n.fleet.peers.Notice(ctx, m.PeerAddr, notice)
			})
		}
		// A lost notice is covered by the record.
		_ = g.Wait()
	}()
}

// noticeBound is the time in which all notices are sent or given up.
func noticeBound(targets int) time.Duration {
	return time.Duration(1+targets/noticeFanOut) * noticeTimeout
}

func (n notifier) targets(v *fold.View) []fold.Member {
	var out []fold.Member
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

// boots reads the boot id of an engine.
type boots struct {
	upstream engine.CheckpointLoader
}

var _ poison.Boots = boots{}

// BootID implements poison.Boots.
func (b boots) BootID(ctx context.Context) (string, error) {
	held, err := b.upstream.MemoryState(ctx)
	return held.BootID, err
}

// agents reaches the agents of the view.
type agents struct {
	fleet *fleet
}

var _ poison.Agents = agents{}

// Boot implements poison.Agents.
func (a agents) Boot(ctx context.Context, instance string) (poison.BootAnswer, error) {
	m, ok := a.fleet.View().Members.Get(instance)
	if !ok {
		return poison.BootAnswer{}, errkind.New(errkind.UpstreamUnavailable, "agent "+instance+" has left")
	}
	return a.fleet.peers.Boot(ctx, m.PeerAddr)
}
