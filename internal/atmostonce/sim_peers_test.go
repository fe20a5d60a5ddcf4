package atmostonce_test

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// exchange sends one message and returns its response.
func exchange[T any](ctx context.Context, from, to *node, handle func(context.Context) (T, error)) (T, error) {
	return standin.Call(ctx, from.Process, to.Process, handle)
}

// simPeers implements atmostonce.WriterClient and atmostonce.AgentClient for one
// entry instance.
type simPeers struct{ n *node }

func (p simPeers) entry(m controlstate.Member) *node {
	for _, e := range p.n.sim.entries {
		if e.ref.Instance == m.Instance {
			return e
		}
	}
	return nil
}

// swapState returns the previous response while swapResponses is positive, as a
// connection does that confuses the responses to two requests (F18).
func (p simPeers) swapState(a atmostonce.StateResponse, err error) (atmostonce.StateResponse, error) {
	sim := p.n.sim
	if err != nil {
		return a, err
	}
	sim.mu.Lock()
	previous := sim.lastStateResponse
	sim.lastStateResponse = &a
	sim.mu.Unlock()
	if previous != nil && sim.takeOne(&sim.swapResponses) {
		return *previous, nil
	}
	return a, nil
}

func (p simPeers) swapSettle(a atmostonce.SettleResponse) atmostonce.SettleResponse {
	sim := p.n.sim
	sim.mu.Lock()
	previous := sim.lastSettleResponse
	sim.lastSettleResponse = a
	sim.mu.Unlock()
	if previous.Attempt != "" && sim.takeOne(&sim.swapResponses) {
		return previous
	}
	return a
}

func (p simPeers) Intent(ctx context.Context, m controlstate.Member, req atmostonce.IntentRequest) (atmostonce.StateResponse, error) {
	to := p.entry(m)
	return p.swapState(exchange(ctx, p.n, to, func(ctx context.Context) (atmostonce.StateResponse, error) { return to.writer.Intent(ctx, req) }))
}

func (p simPeers) Result(ctx context.Context, m controlstate.Member, req atmostonce.ResultRequest) (atmostonce.StateResponse, error) {
	to := p.entry(m)
	return p.swapState(exchange(ctx, p.n, to, func(ctx context.Context) (atmostonce.StateResponse, error) { return to.writer.Result(ctx, req) }))
}

func (p simPeers) Status(ctx context.Context, m controlstate.Member, req atmostonce.StatusRequest) (atmostonce.StateResponse, error) {
	to := p.entry(m)
	return p.swapState(exchange(ctx, p.n, to, func(ctx context.Context) (atmostonce.StateResponse, error) { return to.writer.Status(ctx, req) }))
}

func (p simPeers) Settle(ctx context.Context, m controlstate.Member, req atmostonce.SettleRequest) (atmostonce.SettleResponse, error) {
	for _, a := range p.n.sim.agents {
		if a.ref.Instance == m.Instance {
			answer, err := exchange(ctx, p.n, a, func(context.Context) (atmostonce.SettleResponse, error) { return a.settle(req), nil })
			return p.swapSettle(answer), err
		}
	}
	return atmostonce.SettleResponse{}, standin.ErrConnection
}

// settle answers as the agent's table does. Without the fencing rule it reports an
// attempt that has not arrived as fenced, but does not remember that.
func (n *node) settle(req atmostonce.SettleRequest) atmostonce.SettleResponse {
	if _, arrived := n.arrived.Load(req.Attempt); n.sim.disabled.fencing && !arrived {
		return atmostonce.SettleResponse{Attempt: req.Attempt, State: atmostonce.SettleFenced}
	}
	return n.runner.Load().Table.Settle(req)
}

// dispatcher sends the attempts of one call.
type dispatcher struct {
	n    *node
	call int
	body string
}

func (d dispatcher) Choose(_ context.Context, tried []record.InstanceRef) (record.InstanceRef, error) {
	sim := d.n.sim
	sim.mu.Lock()
	start := sim.rng.IntN(len(sim.agents))
	sim.mu.Unlock()
	for i := range sim.agents {
		m, ok := d.n.View().Members.Get(sim.agents[(start+i)%len(sim.agents)].ref.Instance)
		if ok && (len(tried) != 1 || tried[0] != m.Ref()) {
			return m.Ref(), nil
		}
	}
	return record.InstanceRef{}, errkind.New(errkind.UpstreamUnavailable, "no agent")
}

func (d dispatcher) Send(ctx context.Context, permit atmostonce.Permit) (atmostonce.Result, error) {
	sim := d.n.sim
	d.n.WaitWhilePaused()
	if d.n.Dead() {
		return atmostonce.Result{}, standin.ErrConnection
	}
	sim.add(event{kind: "dispatch", call: d.call, attempt: permit.Attempt})
	var to *node
	for _, a := range sim.agents {
		if a.ref.Instance == permit.Target.Instance {
			to = a
		}
	}
	deliver := func(context.Context) (atmostonce.Result, error) { return to.serve(permit, d.body) }
	switch {
	case sim.takeOne(&sim.delayDispatches):
		go func() {
			time.Sleep(2500 * time.Millisecond)
			_, _ = exchange(sim.ctx, d.n, to, deliver)
		}()
		return atmostonce.Result{}, standin.ErrConnection
	case sim.takeOne(&sim.dropDispatches):
		return atmostonce.Result{}, standin.ErrConnection
	case sim.takeOne(&sim.duplicateDispatches):
		go func() { _, _ = exchange(sim.ctx, d.n, to, deliver) }()
		go func() {
			time.Sleep(4 * time.Second)
			_, _ = exchange(sim.ctx, d.n, to, deliver)
		}()
	}
	return exchange(ctx, d.n, to, deliver)
}

// serve handles a dispatch at the agent. The service continues if its agent is killed.
func (n *node) serve(permit atmostonce.Permit, body string) (atmostonce.Result, error) {
	d := attempt.Dispatch{CallID: permit.CallID, Attempt: permit.Attempt, Target: permit.Target}
	n.arrived.Store(permit.Attempt, true)
	return n.runner.Load().Run(n.Context(), d, func(context.Context) (atmostonce.Result, error) {
		if n.Dead() {
			return atmostonce.Result{}, standin.ErrConnection
		}
		time.Sleep(30 * time.Millisecond)
		n.sim.add(event{kind: "execute", callID: permit.Team + "/" + permit.Key, body: body, attempt: permit.Attempt})
		return atmostonce.Result{Status: 200, Body: []byte(answerTo(permit.Team+"/"+permit.Key, body))}, nil
	})
}
