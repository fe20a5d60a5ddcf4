package poison_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const (
	viewBound = 3 * time.Second
	deadline  = 10 * time.Second
)

var errDown = errors.New("connection failed")

// world is a fleet of two entry instances and four agents, whose views lag by up
// to viewBound. The history is the crashes and the wrongful refusals.
type world struct {
	ctx                 context.Context
	mu                  sync.Mutex
	rng                 *rand.Rand
	views               []timedView
	agents, entries     []*node
	logOut, loseAnswers time.Time
	restart             time.Duration
	plan                []armed
	reached             [poison.StepCount]int
	crashes, innocent   int
	served, asked       int
}

type timedView struct {
	at time.Time
	v  *fold.View
}

// node is the machine of an entry instance or of an agent with its upstream.
type node struct {
	w           *world
	name        string
	lag         time.Duration
	boot        int
	bootAt      time.Time
	broken      chan struct{}
	noRef, noWh bool
	now         atomic.Pointer[life]
}

// life is one incarnation of the process at a node.
type life struct {
	*standin.Process
	*node
	ref      record.HomeRef
	known    *poison.Known
	tracker  *poison.Tracker
	reporter *poison.Reporter
	guard    *poison.Guard
}

func (n *life) View() *fold.View {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	v := n.w.views[0].v
	for _, t := range n.w.views {
		if time.Since(t.at) >= n.lag {
			v = t.v
		}
	}
	return v
}

func (n *life) up() bool {
	n.WaitWhilePaused()
	return n.Context().Err() == nil
}

func (n *life) Append(_ context.Context, b record.Body) error {
	if !n.up() {
		return errDown
	}
	time.Sleep(5 * time.Millisecond)
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.logOut) {
		return errDown
	}
	e, _ := record.New("test", 0, b)
	last := w.views[len(w.views)-1].v
	next, _ := last.Apply(last.Offset+1, e)
	w.views = append(w.views, timedView{time.Now(), next})
	if time.Now().Before(w.loseAnswers) {
		return errDown
	}
	return nil
}

func (n *life) Notify(_ context.Context, notice poison.Notice) {
	if !n.up() {
		return
	}
	for _, p := range slices.Concat(n.w.agents, n.w.entries) {
		if to := p.now.Load(); !to.Dead() {
			to.known.Told(notice)
		}
	}
}

func (n *life) BootID(context.Context) (string, error) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if time.Now().Before(n.bootAt) {
		return "", errDown
	}
	return fmt.Sprint(n.boot), nil
}

func (n *life) Boot(ctx context.Context, instance string) (poison.BootAnswer, error) {
	for _, m := range n.w.agents {
		if a := m.now.Load(); m.name == instance && a.up() && n.up() {
			return a.reporter.Boot(ctx), nil
		}
	}
	return poison.BootAnswer{}, errDown
}

func (m *node) start(incarnation string) {
	n := &life{node: m, Process: standin.NewProcess(m.w.ctx), ref: record.HomeRef{Instance: m.name, Incarnation: incarnation}}
	n.known, _ = poison.NewKnown(n)
	at := func(s poison.Step) { m.w.at(n, s) }
	if m.boot == 0 {
		n.guard = poison.NewGuard(n.known, n, n, n, viewBound)
		poison.Hook(at, m.noRef, m.noWh, nil, nil, n.guard)
		m.now.Store(n)
		return
	}
	n.tracker = poison.NewTracker(n.ref, n.known)
	n.reporter = poison.NewReporter(n.ref, n.tracker, n.known, n, n, n)
	poison.Hook(at, m.noRef, m.noWh, n.tracker, n.reporter, nil)
	m.now.Store(n)
	for n.reporter.Provision(n.Context()) != nil && n.Context().Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// serve runs a request at the agent. The poison request ends the upstream's
// life and, with it, every request that runs there.
func (n *life) serve(d poison.Digest) (failure *poison.Failure, err error) {
	if !n.up() || n.reporter.BootID() == "" {
		return nil, errkind.New(errkind.UpstreamUnavailable, "down")
	}
	if err := n.tracker.Start(d); err != nil {
		return nil, err
	}
	ctx, reporter, boot := n.Context(), n.reporter, n.reporter.BootID()
	n.w.mu.Lock()
	broken := n.broken
	n.w.mu.Unlock()
	if d == "poison" {
		time.Sleep(20 * time.Millisecond)
		n.w.mu.Lock()
		if n.broken == broken {
			n.w.crashes++
			n.boot++
			n.bootAt = time.Now().Add(n.w.restart)
			n.broken = make(chan struct{})
			close(broken)
		}
		n.w.mu.Unlock()
	}
	select {
	case <-broken:
		go reporter.LinkLost(ctx)
		reporter.End(ctx, d, false)
		return &poison.Failure{Digest: d, Home: n.ref, BootID: boot}, errkind.New(errkind.UpstreamCrashed, "crashed")
	case <-ctx.Done():
		return &poison.Failure{Digest: d, Home: n.ref, BootID: boot}, errkind.New(errkind.StreamCut, "agent lost")
	case <-time.After(50 * time.Millisecond):
		reporter.End(ctx, d, true)
		return nil, nil
	}
}

// ask is one request of a caller through an entry instance.
func (w *world) ask(n *life, d poison.Digest) error {
	if !n.up() {
		return errDown
	}
	if err := n.guard.Check(d); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(n.Context(), deadline)
	defer cancel()
	w.mu.Lock()
	order := w.rng.Perm(len(w.agents))
	w.mu.Unlock()
	err := error(errkind.New(errkind.UpstreamBusy, "none"))
	for _, i := range order {
		var failure *poison.Failure
		if failure, err = w.agents[i].now.Load().serve(d); failure != nil {
			n.guard.Withhold(ctx, *failure)
		}
		if k := errkind.From(err); err == nil || failure != nil || k.Kind == errkind.RequestQuarantined {
			break
		}
	}
	if !n.up() {
		return errDown
	}
	return err
}

func (w *world) resend(d poison.Digest, first int, until time.Duration) {
	for start, i := time.Now(), first; time.Since(start) < until; i++ {
		err := w.ask(w.entries[i%len(w.entries)].now.Load(), d)
		w.mu.Lock()
		w.asked++
		refused := errkind.Is(err, errkind.RequestQuarantined)
		if refused && d != "poison" {
			w.innocent++
		}
		if err == nil {
			w.served++
		}
		w.mu.Unlock()
		if err == nil || refused && d != "poison" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func run(t *testing.T, seed uint64, noRefusal, noWithhold bool, plan []armed) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), restart: time.Second, plan: plan}
	synctest.Test(t, func(*testing.T) {
		var stop context.CancelFunc
		w.ctx, stop = context.WithCancel(context.Background())
		w.views = []timedView{{time.Now().Add(-viewBound), fold.Empty()}}
		for i := range 6 {
			n := &node{w: w, noRef: noRefusal, noWh: noWithhold, broken: make(chan struct{})}
			n.name = fmt.Sprint("node-", i)
			n.lag = time.Duration(w.rng.Int64N(int64(viewBound)))
			if i < 2 {
				w.entries = append(w.entries, n)
			} else {
				n.boot = 100 * i
				w.agents = append(w.agents, n)
			}
			n.start("1")
		}
		var wg sync.WaitGroup
		for c := range 6 {
			wg.Go(func() {
				for i := range 150 {
					w.resend(poison.Digest(fmt.Sprint("plain-", c, "-", i)), c+i, time.Minute)
				}
			})
		}
		wg.Go(func() {
			time.Sleep(time.Second)
			w.resend("poison", 0, 40*time.Second)
		})
		wg.Wait()
		stop()
		time.Sleep(30 * time.Second) // Sleeping goroutines end within the bubble.
		synctest.Wait()
	})
	return w
}
