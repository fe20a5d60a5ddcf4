package fleetsim

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// requestTimeout is how long a request waits for tokens.
const requestTimeout = time.Second

// drainTime is how long Run waits at the end for calls whose result nobody waits
// for, such as the return of unspent tokens.
const drainTime = 10 * time.Second

// Run runs the scenario and returns its history. It must be called in virtual
// time, in a bubble of testing/synctest.
func Run(s *Scenario) *Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{
		scenario:     s,
		log:          standin.NewLog(),
		ctx:          ctx,
		start:        time.Now().Add(warmUp),
		slots:        make([]*node, s.Nodes),
		byAddr:       make(map[string]*node),
		incarnations: make(map[int]int),
		applied:      make([]bool, len(s.Faults)),
	}
	f.result.Start = f.start
	f.publishInitial()
	for i := range s.Nodes {
		f.join(f.startNode(i))
	}
	time.Sleep(time.Until(f.start))
	f.schedule()
	var running sync.WaitGroup
	f.offerLoad(&running)
	f.result.Records = f.lastOffset.Load()
	cancel()
	running.Wait()
	time.Sleep(drainTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	return &f.result
}

// offerLoad starts each request at its arrival time. It returns 2 x requestTimeout
// after the scenario's duration. By then every request has been admitted or
// refused, or has timed out, except on paused or dead nodes.
func (f *fleet) offerLoad(running *sync.WaitGroup) {
	arrivals := f.scenario.arrivals()
	f.result.Outcomes = make([]Outcome, len(arrivals))
	for i, a := range arrivals {
		time.Sleep(time.Until(f.start.Add(a.at)))
		running.Add(1)
		go func() {
			defer running.Done()
			f.runRequest(i, a)
		}()
	}
	time.Sleep(time.Until(f.start.Add(f.scenario.Duration + 2*requestTimeout)))
	f.finished.Store(true)
}

func (f *fleet) runRequest(i int, a arrival) {
	n := f.liveNode(a.node)
	ctx, cancel := context.WithTimeout(f.ctx, requestTimeout)
	defer cancel()
	out := Outcome{At: a.at, Team: a.team, Node: n.index, Tokens: a.tokens}
	start := time.Now()
	res, err := n.holder.Reserve(ctx, a.team, a.tokens)
	out.Refused = err
	out.Lost = n.isDead()
	out.Waited = time.Since(start)
	f.mu.Lock()
	f.result.Outcomes[i] = out
	f.mu.Unlock()
	if err == nil {
		time.Sleep(a.settleAfter)
		n.waitWhilePaused()
		res.Settle(a.actual)
	}
}
