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

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const (
	maxViewAge = 3 * time.Second
	deadline   = 10 * time.Second
)

var errDown = errors.New("connection failed")

// simulation is a fleet of two entry instances and four agents, whose views lag by
// up to maxViewAge. It counts the upstream crashes and the requests that were
// quarantined although they are not the poison request.
type simulation struct {
	ctx                              context.Context
	mu                               sync.Mutex
	rng                              *rand.Rand
	views                            []timedView
	agents, entries                  []*node
	logDownUntil, loseResponsesUntil time.Time
	restartTime                      time.Duration
	plan                             []plannedFault
	reached                          [poison.StepCount]int
	crashes, wronglyRefused          int
	served, sent                     int
}

type timedView struct {
	at   time.Time
	view *controlstate.View
}

// node is the machine of an entry instance or of an agent with its upstream.
type node struct {
	sim                *simulation
	name               string
	lag                time.Duration
	boot               int
	upAt               time.Time
	connectionLost     chan struct{}
	noRefusal, noDelay bool
	current            atomic.Pointer[process]
}

// process is one incarnation of the instance at a node.
type process struct {
	*standin.Process
	*node
	ref        record.InstanceRef
	crashTable *poison.CrashTable
	tracker    *poison.Tracker
	reporter   *poison.Reporter
	guard      *poison.Guard
}

func (p *process) View() *controlstate.View {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	v := p.sim.views[0].view
	for _, timed := range p.sim.views {
		if time.Since(timed.at) >= p.lag {
			v = timed.view
		}
	}
	return v
}

// alive waits while the process is paused and then reports whether it still runs.
func (p *process) alive() bool {
	p.WaitWhilePaused()
	return p.Context().Err() == nil
}

func (p *process) Append(_ context.Context, b record.Body) error {
	if !p.alive() {
		return errDown
	}
	time.Sleep(5 * time.Millisecond)
	sim := p.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if time.Now().Before(sim.logDownUntil) {
		return errDown
	}
	e, _ := record.New("test", 0, b)
	last := sim.views[len(sim.views)-1].view
	next, _ := last.Apply(last.Offset+1, e)
	sim.views = append(sim.views, timedView{time.Now(), next})
	if time.Now().Before(sim.loseResponsesUntil) {
		return errDown
	}
	return nil
}

func (p *process) Notify(_ context.Context, notice poison.CrashNotice) {
	if !p.alive() {
		return
	}
	for _, peer := range slices.Concat(p.sim.agents, p.sim.entries) {
		if running := peer.current.Load(); !running.Dead() {
			running.crashTable.ApplyNotice(notice)
		}
	}
}

func (p *process) BootID(context.Context) (string, error) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if time.Now().Before(p.upAt) {
		return "", errDown
	}
	return fmt.Sprint(p.boot), nil
}

func (p *process) BootStatus(ctx context.Context, instance string) (poison.BootStatus, error) {
	for _, n := range p.sim.agents {
		if a := n.current.Load(); n.name == instance && a.alive() && p.alive() {
			return a.reporter.BootStatus(ctx), nil
		}
	}
	return poison.BootStatus{}, errDown
}

func (n *node) start(incarnation string) {
	p := &process{node: n, Process: standin.NewProcess(n.sim.ctx), ref: record.InstanceRef{Instance: n.name, Incarnation: incarnation}}
	p.crashTable, _ = poison.NewCrashTable(p)
	onStep := func(s poison.Step) { n.sim.onStep(p, s) }
	if n.boot == 0 {
		p.guard = poison.NewGuard(p.crashTable, p, p, p, maxViewAge)
		poison.InstallHooks(onStep, n.noRefusal, n.noDelay, nil, nil, p.guard)
		n.current.Store(p)
		return
	}
	p.tracker = poison.NewTracker(p.ref, p.crashTable)
	p.reporter = poison.NewReporter(p.ref, p.tracker, p.crashTable, p, p, p)
	poison.InstallHooks(onStep, n.noRefusal, n.noDelay, p.tracker, p.reporter, nil)
	n.current.Store(p)
	for p.reporter.Init(p.Context()) != nil && p.Context().Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// serve runs a request at the agent. The poison request crashes the upstream and
// so ends every request that runs there.
func (p *process) serve(d poison.Digest) (failure *poison.FailedAttempt, err error) {
	if !p.alive() || p.reporter.BootID() == "" {
		return nil, errkind.New(errkind.UpstreamUnavailable, "down")
	}
	if err := p.tracker.Start(d); err != nil {
		return nil, err
	}
	ctx, reporter, boot := p.Context(), p.reporter, p.reporter.BootID()
	p.sim.mu.Lock()
	connectionLost := p.connectionLost
	p.sim.mu.Unlock()
	if d == "poison" {
		time.Sleep(20 * time.Millisecond)
		p.sim.mu.Lock()
		if p.connectionLost == connectionLost {
			p.sim.crashes++
			p.boot++
			p.upAt = time.Now().Add(p.sim.restartTime)
			p.connectionLost = make(chan struct{})
			close(connectionLost)
		}
		p.sim.mu.Unlock()
	}
	select {
	case <-connectionLost:
		go reporter.ConnectionLost(ctx)
		reporter.End(ctx, d, false)
		return &poison.FailedAttempt{Digest: d, Agent: p.ref, BootID: boot}, errkind.New(errkind.UpstreamCrashed, "crashed")
	case <-ctx.Done():
		return &poison.FailedAttempt{Digest: d, Agent: p.ref, BootID: boot}, errkind.New(errkind.StreamCut, "agent lost")
	case <-time.After(50 * time.Millisecond):
		reporter.End(ctx, d, true)
		return nil, nil
	}
}

// send sends one request of a caller through an entry instance.
func (sim *simulation) send(p *process, d poison.Digest) error {
	if !p.alive() {
		return errDown
	}
	if err := p.guard.Check(d); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.Context(), deadline)
	defer cancel()
	sim.mu.Lock()
	permutation := sim.rng.Perm(len(sim.agents))
	sim.mu.Unlock()
	err := error(errkind.New(errkind.UpstreamBusy, "none"))
	for _, i := range permutation {
		var failure *poison.FailedAttempt
		if failure, err = sim.agents[i].current.Load().serve(d); failure != nil {
			p.guard.Withhold(ctx, *failure)
		}
		if k := errkind.From(err); err == nil || failure != nil || k.Kind == errkind.RequestQuarantined {
			break
		}
	}
	if !p.alive() {
		return errDown
	}
	return err
}

func (sim *simulation) resend(d poison.Digest, first int, until time.Duration) {
	for start, i := time.Now(), first; time.Since(start) < until; i++ {
		err := sim.send(sim.entries[i%len(sim.entries)].current.Load(), d)
		sim.mu.Lock()
		sim.sent++
		refused := errkind.Is(err, errkind.RequestQuarantined)
		if refused && d != "poison" {
			sim.wronglyRefused++
		}
		if err == nil {
			sim.served++
		}
		sim.mu.Unlock()
		if err == nil || refused && d != "poison" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func runSimulation(t *testing.T, seed uint64, noRefusal, noDelay bool, plan []plannedFault) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), restartTime: time.Second, plan: plan}
	synctest.Test(t, func(*testing.T) {
		var stop context.CancelFunc
		sim.ctx, stop = context.WithCancel(context.Background())
		sim.views = []timedView{{time.Now().Add(-maxViewAge), controlstate.Empty()}}
		for i := range 6 {
			n := &node{sim: sim, noRefusal: noRefusal, noDelay: noDelay, connectionLost: make(chan struct{})}
			n.name = fmt.Sprint("node-", i)
			n.lag = time.Duration(sim.rng.Int64N(int64(maxViewAge)))
			if i < 2 {
				sim.entries = append(sim.entries, n)
			} else {
				n.boot = 100 * i
				sim.agents = append(sim.agents, n)
			}
			n.start("1")
		}
		var wg sync.WaitGroup
		for c := range 6 {
			wg.Go(func() {
				for i := range 150 {
					sim.resend(poison.Digest(fmt.Sprint("plain-", c, "-", i)), c+i, time.Minute)
				}
			})
		}
		wg.Go(func() {
			time.Sleep(time.Second)
			sim.resend("poison", 0, 40*time.Second)
		})
		wg.Wait()
		stop()
		time.Sleep(30 * time.Second) // Sleeping goroutines must end before the synctest bubble does.
		synctest.Wait()
	})
	return sim
}
