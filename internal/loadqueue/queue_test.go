package loadqueue

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/assignment"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/residency"
)

var errCutOff = errors.New("connection refused")

// storedView is a view that the test sets.
type storedView struct {
	view atomic.Pointer[controlstate.View]
}

func (l *storedView) View() *controlstate.View { return l.view.Load() }
func (l *storedView) MayWork() bool            { return true }

// network connects agents with two entry instances. All agents share one view.
type network struct {
	owners map[string]*Owner
	views  map[string]*storedView
	agents *storedView
	cutOff atomic.Bool
	// loseAnswers drops the answer of every third message; the message itself takes
	// effect.
	loseAnswers bool
	messages    atomic.Int64
	mu          sync.Mutex
	running     int
	peak        int
}

func entryView(ids ...string) *controlstate.View {
	v := controlstate.Empty()
	for _, id := range ids {
		m := controlstate.Member{MemberJoin: record.MemberJoin{Instance: id, Incarnation: id, Role: record.RoleEntry, PeerAddr: id}}
		v.Members = v.Members.With(id, m)
	}
	v.Limits.StoreLoadsPerS = 1000
	return v
}

func newNetwork() *network {
	n := &network{owners: map[string]*Owner{}, views: map[string]*storedView{}, agents: &storedView{}}
	n.agents.view.Store(entryView("e1", "e2"))
	for _, id := range []string{"e1", "e2"} {
		n.views[id] = &storedView{}
		n.views[id].view.Store(n.agents.View())
		n.owners[id] = NewOwner(record.InstanceRef{Instance: id, Incarnation: id}, n.views[id])
	}
	return n
}

// lost returns an error if the network is cut or the answer is lost.
func (n *network) lost() error {
	if n.cutOff.Load() || n.loseAnswers && n.messages.Add(1)%3 == 0 {
		return errCutOff
	}
	return nil
}

func (n *network) Acquire(ctx context.Context, addr string, q SlotRequest) (SlotResponse, error) {
	if n.cutOff.Load() {
		return SlotResponse{}, errCutOff
	}
	a, err := n.owners[addr].Acquire(ctx, q)
	return a, errors.Join(err, n.lost())
}

func (n *network) Renew(_ context.Context, addr string, r RenewRequest) error {
	return errors.Join(n.lost(), n.owners[addr].Renew(r))
}

func (n *network) Release(_ context.Context, addr string, d ReleaseRequest) error {
	return errors.Join(n.lost(), n.owners[addr].Release(d))
}

func (n *network) addRunning(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running += change
	n.peak = max(n.peak, n.running)
}

// load runs one load with a slot and records how many run at the same time.
func (n *network) load(ctx context.Context, c *Client, l residency.Load, d time.Duration) error {
	done, err := c.Slot(ctx, l)
	if err != nil {
		return err
	}
	// A load without a slot does not count, as the store limits it.
	slots := len(c.newRenewRequest().Slots)
	n.addRunning(slots)
	time.Sleep(d)
	n.addRunning(-slots)
	done()
	return nil
}

// TestSlotsAcrossTakeover guards against more store loads at once than the limit,
// while answers are lost and the owner is replaced. Without the takeover wait the
// limit is exceeded.
func TestSlotsAcrossTakeover(t *testing.T) {
	run := func(seed uint64, noTakeoverWait bool) (peak int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			n := newNetwork()
			n.loseAnswers = seed%2 == 1
			rng := rand.New(rand.NewPCG(seed, 3))
			var tasks sync.WaitGroup
			served := atomic.Int64{}
			for _, o := range n.owners {
				o.noTakeoverWait = noTakeoverWait
			}
			for i := range 30 {
				c := NewClient(record.InstanceRef{Instance: fmt.Sprint("a", i)}, n.agents, n, zap.NewNop())
				tasks.Go(func() { c.Run(ctx) })
				l := residency.Load{Checkpoint: fmt.Sprint("m", i), Deadline: time.Now().Add(5 * time.Minute)}
				d := time.Duration(500+rng.IntN(4000)) * time.Millisecond
				tasks.Go(func() {
					if n.load(ctx, c, l, d) == nil {
						served.Add(1)
					}
				})
			}
			time.Sleep(time.Duration(8000+rng.IntN(4000)) * time.Millisecond)
			leader, _ := assignment.Leader(n.agents.View(), LeaderTask)
			other := map[string]string{"e1": "e2", "e2": "e1"}[leader.Instance]
			n.views[other].view.Store(entryView(other))
			n.agents.view.Store(entryView(other))
			time.Sleep(3 * time.Minute)
			cancel()
			tasks.Wait()
			time.Sleep(time.Minute)
			peak = n.peak
			if n := served.Load(); n != 30 {
				t.Errorf("seed %d: %d of 30 loads ran", seed, n)
			}
		})
		return peak
	}
	is := is.New(t)
	broken := map[bool]int{}
	const seeds = 20
	for seed := range uint64(seeds) {
		for _, noTakeoverWait := range []bool{false, true} {
			if run(seed, noTakeoverWait) > 4 {
				broken[noTakeoverWait]++
			}
		}
	}
	t.Logf("runs with more than 4 concurrent loads: %d of %d, without the takeover wait %d of %d", broken[false], seeds, broken[true], seeds)
	is.Equal(broken[false], 0)
	is.True(broken[true] > 0) // negative control
}

// TestOrder checks each criterion of the order of loads.
func TestOrder(t *testing.T) {
	now := time.Now().Truncate(deadlineStep)
	late, soon := now.Add(time.Hour), now.Add(time.Second)
	for _, tc := range []struct {
		name string
		x, y Candidate
	}{
		{"loads that a request waits for before preloads", Candidate{Deadline: late, Arrival: 2}, Candidate{Deadline: now, Preload: true}},
		{"earlier deadlines first", Candidate{Deadline: now, Arrival: 2}, Candidate{Deadline: late, Value: 9}},
		{"higher values at about the same deadline", Candidate{Deadline: soon, Value: 2, Arrival: 2}, Candidate{Deadline: now, Value: 1}},
		{"teams with less usage first", Candidate{Deadline: now, TeamUsage: 1, Arrival: 2}, Candidate{Deadline: now, TeamUsage: 2}},
		{"earlier arrivals first", Candidate{Deadline: now, Arrival: 1}, Candidate{Deadline: now, Arrival: 2}},
	} {
		is := is.New(t)
		is.True(tc.x.Before(tc.y))  // x goes first
		is.True(!tc.y.Before(tc.x)) // y does not
	}
}

// TestOwnerUnreachable guards against a load that waits for an unreachable owner
// until its deadline although a request waits for it, and against a preload
// without a slot.
func TestOwnerUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		n.cutOff.Store(true)
		c := NewClient(record.InstanceRef{Instance: "a"}, n.agents, n, zap.NewNop())
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err := c.Slot(ctx, residency.Load{Checkpoint: "m", Deadline: start.Add(20 * time.Second)})
		is.NoErr(err)
		is.True(time.Since(start) < 2*unreachableAfter)
		_, err = c.Slot(ctx, residency.Load{Checkpoint: "m", Preload: true, Deadline: start.Add(20 * time.Second)})
		is.Equal(err, context.DeadlineExceeded)
	})
}

// TestPreloadsLeaveASlot guards against preloads that take all slots and so delay
// a load that a request waits for.
func TestPreloadsLeaveASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		leader, _ := assignment.Leader(n.agents.View(), LeaderTask)
		o := n.owners[leader.Instance]
		ask := func(id string, preload bool) bool {
			a, err := o.Acquire(context.Background(), SlotRequest{ID: id, Class: Store, Checkpoint: id, Preload: preload, DeadlineMS: 60_000})
			is.NoErr(err)
			return a.Granted
		}
		ask("takeover", false)
		time.Sleep(viewBound + storeTTL)
		granted := 0
		for i := range 6 {
			if ask(fmt.Sprint("p", i), true) {
				granted++
			}
			is.NoErr(o.Renew(RenewRequest{Slots: []HeldSlot{{ID: "p0", Class: Store}, {ID: "p1", Class: Store}, {ID: "p2", Class: Store}}}))
		}
		is.Equal(granted, 3) // preloads granted
		is.True(ask("not a preload", false))
	})
}

// BenchmarkDispatch measures a slot request and its release while others wait.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("waiting=", size), func(b *testing.B) {
			n := newNetwork()
			leader, _ := assignment.Leader(n.agents.View(), LeaderTask)
			o := n.owners[leader.Instance]
			o.noTakeoverWait = true
			for i := range size + 4 {
				id := fmt.Sprint("w", i)
				_, _ = o.enqueue(SlotRequest{ID: id, Class: Store, Checkpoint: id, DeadlineMS: 3_600_000})
			}
			b.ReportAllocs()
			for b.Loop() {
				o.mu.Lock()
				for _, w := range o.waiting {
					w.lastAsked = time.Now()
				}
				o.mu.Unlock()
				_, _ = o.enqueue(SlotRequest{ID: "x", Class: Store, Checkpoint: "x", DeadlineMS: 3_600_000})
				_ = o.Release(ReleaseRequest{ID: "x"})
			}
		})
	}
}
