package once_test

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// exchange carries one message and its answer.
func exchange[T any](ctx context.Context, from, to *node, handle func(context.Context) (T, error)) (T, error) {
	return standin.Exchange(ctx, from.Process, to.Process, handle)
}

// peers are the messages of one entry instance.
type peers struct{ n *node }

func (p peers) entry(m fold.Member) *node {
	for _, e := range p.n.w.entries {
		if e.ref.Instance == m.Instance {
			return e
		}
	}
	return nil
}

// mix hands out the previous answer once F18 is on, as a mixed-up connection does.
func (p peers) mix(a once.StateAnswer, err error) (once.StateAnswer, error) {
	w := p.n.w
	if err != nil {
		return a, err
	}
	w.mu.Lock()
	previous := w.lastAnswer
	w.lastAnswer = &a
	w.mu.Unlock()
	if previous != nil && w.take(&w.mixed) {
		return *previous, nil
	}
	return a, nil
}

func (p peers) mixSettle(a once.SettleAnswer) once.SettleAnswer {
	w := p.n.w
	w.mu.Lock()
	previous := w.lastSettle
	w.lastSettle = a
	w.mu.Unlock()
	if previous.Attempt != "" && w.take(&w.mixed) {
		return previous
	}
	return a
}

func (p peers) Intent(ctx context.Context, m fold.Member, req once.IntentRequest) (once.StateAnswer, error) {
	to := p.entry(m)
	return p.mix(exchange(ctx, p.n, to, func(ctx context.Context) (once.StateAnswer, error) { return to.writer.Intent(ctx, req) }))
}

func (p peers) Result(ctx context.Context, m fold.Member, req once.ResultRequest) (once.StateAnswer, error) {
	to := p.entry(m)
	return p.mix(exchange(ctx, p.n, to, func(ctx context.Context) (once.StateAnswer, error) { return to.writer.Result(ctx, req) }))
}

func (p peers) Status(ctx context.Context, m fold.Member, req once.StatusRequest) (once.StateAnswer, error) {
	to := p.entry(m)
	return p.mix(exchange(ctx, p.n, to, func(ctx context.Context) (once.StateAnswer, error) { return to.writer.Status(ctx, req) }))
}

func (p peers) Settle(ctx context.Context, m fold.Member, req once.SettleRequest) (once.SettleAnswer, error) {
	for _, a := range p.n.w.agents {
		if a.ref.Instance == m.Instance {
			answer, err := exchange(ctx, p.n, a, func(context.Context) (once.SettleAnswer, error) { return a.settle(req), nil })
			return p.mixSettle(answer), err
		}
	}
	return once.SettleAnswer{}, standin.ErrConnection
}

// settle without the fencing rule answers as an agent that forgets what it said.
func (n *node) settle(req once.SettleRequest) once.SettleAnswer {
	if _, arrived := n.arrived.Load(req.Attempt); n.w.off.fencing && !arrived {
		return once.SettleAnswer{Attempt: req.Attempt, State: once.SettleFenced}
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
	w := d.n.w
	w.mu.Lock()
	start := w.rng.IntN(len(w.agents))
	w.mu.Unlock()
	for i := range w.agents {
		m, ok := d.n.View().Members.Get(w.agents[(start+i)%len(w.agents)].ref.Instance)
		if ok && (len(tried) != 1 || tried[0] != m.Ref()) {
			return m.Ref(), nil
		}
	}
	return record.InstanceRef{}, errkind.New(errkind.UpstreamUnavailable, "no agent")
}

func (d dispatcher) Send(ctx context.Context, t once.Ticket) (once.Result, error) {
	w := d.n.w
	d.n.Gate()
	if d.n.Dead() {
		return once.Result{}, standin.ErrConnection
	}
	w.add(event{what: "dispatch", call: d.call, attempt: t.Attempt})
	var to *node
	for _, a := range w.agents {
		if a.ref.Instance == t.Target.Instance {
			to = a
		}
	}
	deliver := func(context.Context) (once.Result, error) { return to.serve(t, d.body) }
	switch {
	case w.take(&w.late):
		go func() {
			time.Sleep(2500 * time.Millisecond)
			_, _ = exchange(w.ctx, d.n, to, deliver)
		}()
		return once.Result{}, standin.ErrConnection
	case w.take(&w.lose):
		return once.Result{}, standin.ErrConnection
	case w.take(&w.twice):
		go func() { _, _ = exchange(w.ctx, d.n, to, deliver) }()
		go func() {
			time.Sleep(4 * time.Second)
			_, _ = exchange(w.ctx, d.n, to, deliver)
		}()
	}
	return exchange(ctx, d.n, to, deliver)
}

// serve is the agent's part; the service goes on when its agent is killed.
func (n *node) serve(t once.Ticket, body string) (once.Result, error) {
	d := attempt.Dispatch{Identity: t.Identity, Attempt: t.Attempt, Target: t.Target}
	n.arrived.Store(t.Attempt, true)
	return n.runner.Load().Run(n.Context(), d, func(context.Context) (once.Result, error) {
		if n.Dead() {
			return once.Result{}, standin.ErrConnection
		}
		time.Sleep(30 * time.Millisecond)
		n.w.add(event{what: "execute", identity: t.Team + "/" + t.Key, body: body, attempt: t.Attempt})
		return once.Result{Status: 200, Body: []byte(answerTo(t.Team+"/"+t.Key, body))}, nil
	})
}
