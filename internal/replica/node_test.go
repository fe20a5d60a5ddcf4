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

// off names the rules that a negative control switches off.
type off struct {
	bound time.Duration
	relay relay.DisabledRules
	offer bool
}

// node is one process of the fleet: the real replica, member and snapshot
// writer over fakes.
type node struct {
	w            *world
	instance, dc string
	addr         string
	rand         *rand.Rand
	self         *relay.Self
	replica      *replica.Replica
	member       *member.Member
	killed       atomic.Bool
	cancel       context.CancelFunc
	mu           sync.Mutex
	resume       chan struct{} // not nil while paused
}

var incarnations atomic.Uint64

func (w *world) startNode(instance, dc, addr string) *node {
	n := &node{w: w, instance: instance, dc: dc, addr: addr}
	w.mu.Lock()
	n.rand = rand.New(rand.NewPCG(w.rand.Uint64(), 2))
	own := rand.New(rand.NewPCG(w.rand.Uint64(), 3))
	incarnation := func() string { return fmt.Sprintf("%s-%d", instance, incarnations.Add(1)) }
	n.self = relay.NewSelf(instance, dc, incarnation())
	var seeds []string
	for a := range w.nodes {
		seeds = append(seeds, a)
	}
	slices.Sort(seeds)
	w.mu.Unlock()
	n.replica = replica.New(replica.Config{
		Self: n.self, Log: logClient{n}, Dialer: n, Seeds: seeds[:min(2, len(seeds))], Rand: own,
		BufferRecords: 6, AnswerRecords: 3, Bound: w.off.bound, Off: w.off.relay, OfferOff: w.off.offer,
	})
	n.member = member.New(member.Config{
		Self: n.self, Role: record.RoleEntry, PeerAddr: addr, Replica: n.replica, Relay: n.replica.Relay(), Dialer: n,
		List: listClient{n}, Rand: rand.New(rand.NewPCG(1, 4)), NewIncarnation: incarnation,
	})
	w.set(func() { w.nodes[addr] = n })
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	n.replica.Start(ctx)
	n.member.Start(ctx)
	w.wg.Go(func() {
		snapshot.NewWriter(logClient{n}, n.replica, n.self).Run(ctx, func(error) {})
	})
	w.wg.Go(func() { n.work(ctx) })
	w.wg.Go(func() {
		<-ctx.Done()
		n.replica.Stop()
		n.member.Wait()
	})
	return n
}

// kill ends the process at once; nothing that it does afterwards has effect.
func (n *node) kill() {
	n.killed.Store(true)
	n.cancel()
}

func (n *node) dead() bool { return n.killed.Load() }

// pause stops the process for d: it neither sends nor takes nor answers
// anything, and goes on with what it had.
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

func (n *node) unpaused(ctx context.Context) error {
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

// work admits a request with every key and dispatches to every member as often
// as the view allows. It is the history that the checker judges.
func (n *node) work(ctx context.Context) {
	for sleep(ctx, 250*time.Millisecond) == nil && n.unpaused(ctx) == nil {
		if !n.replica.MayWork() {
			continue
		}
		v := n.replica.View()
		a := act{at: n.w.now(), instance: n.instance, incarnation: n.self.Incarnation(), dc: n.dc, version: v.ConfigVersion}
		for id := range v.Keys.All() {
			a.keys = append(a.keys, id)
		}
		for _, m := range v.Members.All() {
			a.targets = append(a.targets, m.Incarnation)
		}
		n.w.hist.acted(a)
	}
}
