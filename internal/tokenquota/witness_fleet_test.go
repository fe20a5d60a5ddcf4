package tokenquota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/witness"
)

// witnessFleet runs limiters that report to agents and write checkpoints, in virtual time.
type witnessFleet struct {
	t      *testing.T
	bounds Bounds
	config *fleet.Config
	clock  witness.Clock
	names  []string
	store  []*fakeStore

	mu sync.Mutex
	r  *rand.Rand
	// tables are those of the agents, and lost the agents that do not answer.
	tables map[string]*witness.Table
	lost   []int
	// mishaps makes calls to agents slow, carried out late, or carried out without an answer.
	mishaps bool
	running []*Limiter
	stop    []context.CancelFunc
	members map[string]fleet.Member
}

// lateCall is how long after the call an agent may carry it out.
const lateCall = 5 * time.Second

func newWitnessFleet(t *testing.T, seed uint64, mishaps bool, entries, agents int, bounds Bounds, c *fleet.Config) *witnessFleet {
	began := time.Now()
	f := &witnessFleet{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), mishaps: mishaps, bounds: bounds, config: c,
		clock: func() time.Duration { return time.Hour + time.Since(began) }, names: entryNames(entries),
		tables: make(map[string]*witness.Table), running: make([]*Limiter, entries), stop: make([]context.CancelFunc, entries),
	}
	for i := range agents {
		f.restartAgent(i)
	}
	f.knowOnly(first(agents)...)
	for range entries {
		f.store = append(f.store, &fakeStore{})
	}
	for i := range entries {
		f.start(i, true)
	}
	return f
}

// first returns the numbers below n.
func first(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

func agentName(i int) string { return fmt.Sprint("agent-", i) }

// locked calls change while nothing else uses what mu guards.
func (f *witnessFleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// knowOnly makes entry instances know these agents only.
func (f *witnessFleet) knowOnly(agents ...int) {
	members := make(map[string]fleet.Member)
	for _, i := range agents {
		members[agentName(i)] = fleet.Member{Name: agentName(i), Role: fleet.RoleAgent, DataCentre: fmt.Sprint("dc-", i%3), Addr: agentName(i)}
	}
	f.locked(func() { f.members = members })
}

// loseOnly makes these agents unreachable, and the others reachable.
func (f *witnessFleet) loseOnly(agents ...int) { f.locked(func() { f.lost = agents }) }

func (f *witnessFleet) restartAgent(i int) {
	f.locked(func() { f.tables[agentName(i)] = witness.NewTable(agentName(i), f.bounds.Window, f.clock) })
}

func (f *witnessFleet) limiter(name string) (l *Limiter) {
	f.locked(func() { l = f.running[slices.Index(f.names, name)] })
	return l
}

// call makes a call to an agent.
func (f *witnessFleet) call(ctx context.Context, agent string, call func(*witness.Table)) error {
	var delay time.Duration
	lost, mishap := false, -1
	f.locked(func() {
		lost = slices.ContainsFunc(f.lost, func(i int) bool { return agentName(i) == agent })
		delay = 4 * time.Millisecond
		if f.mishaps {
			mishap, delay = f.r.IntN(12), time.Duration(f.r.IntN(100))*time.Millisecond
			if mishap == 2 { // carried out long after the caller has given up
				delay = time.Duration(f.r.Int64N(int64(lateCall)))
			}
		}
	})
	if lost || mishap == 0 || mishap == 1 {
		<-ctx.Done()
	} else {
		time.Sleep(delay)
	}
	var table *witness.Table
	f.locked(func() { table = f.tables[agent] })
	if !lost && mishap != 0 {
		call(table)
	}
	if ctx.Err() != nil {
		return errors.New("the answer is lost")
	}
	return nil
}

// Write implements witness.Transport.
func (f *witnessFleet) Write(ctx context.Context, agent string, rec witness.Record) (resp witness.WriteResponse, err error) {
	lost := f.call(ctx, agent, func(t *witness.Table) { resp, err = t.Write(rec) })
	return resp, errors.Join(lost, err)
}

// Read implements witness.Transport.
func (f *witnessFleet) Read(ctx context.Context, agent string, req witness.ReadRequest) (resp witness.ReadResponse, err error) {
	err = f.call(ctx, agent, func(t *witness.Table) { resp = t.Read(req) })
	return resp, err
}

// Borrow implements HolderClient.
func (f *witnessFleet) Borrow(ctx context.Context, team string, r Request, holders HolderList) (got BorrowResult) {
	for _, name := range holders.All {
		if l := f.limiter(name); l != nil && !got.Add(name, &r, l.LendTo(ctx, team, r)) {
			break
		}
	}
	return got
}

// Book implements HolderClient.
func (f *witnessFleet) Book(_ context.Context, team string, r BookRequest, holder string) (BookResult, error) {
	l := f.limiter(holder)
	if l == nil {
		return BookResult{}, errors.New("the holder does not run")
	}
	return l.Book(team, r), nil
}

// Return implements HolderClient.
func (f *witnessFleet) Return(_ context.Context, team string, loans []Loan) error {
	for _, loan := range loans {
		if l := f.limiter(loan.From); l != nil {
			l.Return(team, loan.Tokens)
		}
	}
	return nil
}

// start starts an instance as internal/managed does.
func (f *witnessFleet) start(i int, first bool) {
	ctx, cancel := context.WithCancel(f.t.Context())
	l := NewLimiter(f.names[i], f.bounds, f)
	l.lease.clock = f.clock
	began := f.clock()
	reporter := witness.NewReporter(witness.ReporterOptions{
		Instance: l.self, Transport: f, Clock: f.clock, Source: l, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
		Members: func() (members map[string]fleet.Member) {
			f.locked(func() { members = f.members })
			return members
		},
	})
	if !first {
		l.Resume(Unread, Checkpoint{})
		l.HoldUntil(began + witness.Lease)
	}
	l.Configure(f.config, f.names)
	f.locked(func() { f.running[i], f.stop[i] = l, cancel })
	go func() {
		known := first || l.ResumeWitnessed(reporter.Resume(ctx, began))
		go reporter.Run(ctx)
		for !known && ctx.Err() == nil {
			if written, ok := f.store[i].read(); ok {
				l.Resume(Restart, written)
				break
			}
			sleep(ctx, 20*time.Millisecond)
		}
		f.store[i].serve(ctx, l)
	}()
}

// kill ends an instance and reports whether it was running.
func (f *witnessFleet) kill(i int) (was bool) {
	f.locked(func() {
		f.stop[i]()
		was, f.running[i] = f.running[i] != nil, nil
	})
	return was
}

// close ends all instances and what they have begun.
func (f *witnessFleet) close() {
	for i := range f.names {
		f.kill(i)
	}
	time.Sleep(lateCall + time.Second)
}

// request asks an instance for a team's tokens.
func (f *witnessFleet) request(i int, team string, tokens float64) bool {
	l := f.limiter(f.names[i])
	if l == nil {
		return false
	}
	d := l.Take(f.t.Context(), team, tokens)
	if !d.Allowed {
		_ = f.Return(f.t.Context(), team, d.Loans)
	}
	return d.Allowed && f.limiter(f.names[i]) == l
}
