package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/member"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/replica"
	"github.com/jacinthbend/jacinthbend/internal/snapshot"
)

// disabledRules selects the rules that a test disables to check that they are
// needed. maxViewAge replaces the view bound if it is not 0.
type disabledRules struct {
	maxViewAge time.Duration
	relay      relay.DisabledRules
	offer      bool
}

// node is one process of the fleet. Its replica, member and snapshot writer are
// real; the clients that they use are fakes.
type node struct {
	sim          *simulation
	instance, dc string
	addr         string
	rand         *rand.Rand
	self         *relay.Self
	replica      *replica.Replica
	member       *member.Member
	killed       atomic.Bool
	cancel       context.CancelFunc
	mu           sync.Mutex
	resume       chan struct{} // non-nil while paused
}

var incarnationCount atomic.Uint64

// startNode starts a process. It ends the one that has the address, since only one process can listen
// there.
func (sim *simulation) startNode(instance, dc, addr string) *node {
	sim.mu.Lock()
	before := sim.nodes[addr]
	sim.mu.Unlock()
	if before != nil {
		before.kill()
	}
	n := &node{sim: sim, instance: instance, dc: dc, addr: addr}
	sim.mu.Lock()
	n.rand = rand.New(rand.NewPCG(sim.rand.Uint64(), 2))
	replicaRand := rand.New(rand.NewPCG(sim.rand.Uint64(), 3))
	incarnation := func() string { return fmt.Sprintf("%s-%d", instance, incarnationCount.Add(1)) }
	n.self = relay.NewSelf(instance, dc, incarnation())
	var seeds []string
	for peerAddr := range sim.nodes {
		seeds = append(seeds, peerAddr)
	}
	slices.Sort(seeds)
	sim.mu.Unlock()
	n.replica = replica.New(replica.Config{
		Self: n.self, Log: logClient{n}, Dialer: n, Seeds: seeds[:min(2, len(seeds))], Rand: replicaRand,
		BufferRecords: 6, ResponseRecords: 3, MaxViewAge: sim.disabledRules.maxViewAge, DisabledRelayRules: sim.disabledRules.relay, DisableObserveAppend: sim.disabledRules.offer,
	})
	n.member = member.New(member.Config{
		Self: n.self, Role: record.RoleEntry, PeerAddr: addr, Replica: n.replica, Relay: n.replica.Relay(), Dialer: n,
		List: listClient{n}, Rand: rand.New(rand.NewPCG(1, 4)), NewIncarnation: incarnation,
	})
	sim.set(func() { sim.nodes[addr] = n })
	ctx, cancel := context.WithCancel(sim.ctx)
	n.cancel = cancel
	n.replica.Start(ctx)
	n.member.Start(ctx)
	sim.wg.Go(func() {
		snapshot.NewWriter(logClient{n}, n.replica, n.self).Run(ctx, func(error) {})
	})
	sim.wg.Go(func() { n.work(ctx) })
	sim.wg.Go(func() {
		<-ctx.Done()
		n.replica.Stop()
		n.member.Wait()
	})
	return n
}

// kill ends the process at once. Nothing that it does afterwards has any
// effect.
func (n *node) kill() {
	n.killed.Store(true)
	n.cancel()
}

func (n *node) dead() bool { return n.killed.Load() }

// pause stops the process for d. It sends, receives and answers nothing, and
// afterwards continues from the state that it had.
func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resume != nil {
		return
	}
	resume := make(chan struct{})
	n.resume = resume
	time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.resume = nil
		close(resume)
	})
}

func (n *node) waitUnpaused(ctx context.Context) error {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	if resume == nil {
		return ctx.Err()
	}
	select {
	case <-resume:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// work admits a request with every key and dispatches to every member every
// 250 ms while the replica allows work. It records this for the checker.
func (n *node) work(ctx context.Context) {
	for sleep(ctx, 250*time.Millisecond) == nil && n.waitUnpaused(ctx) == nil {
		if !n.replica.MayWork() {
			continue
		}
		v := n.replica.View()
		w := workEvent{at: n.sim.now(), instance: n.instance, incarnation: n.self.Incarnation(), dc: n.dc, version: v.ConfigVersion}
		for id := range v.Keys.All() {
			w.keys = append(w.keys, id)
		}
		for _, m := range v.Members.All() {
			w.targets = append(w.targets, m.Incarnation)
		}
		n.sim.history.recordWork(w)
	}
}
