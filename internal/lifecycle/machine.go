// Package lifecycle is the state machine of a process: starting, serving,
// draining, stopped. It counts running requests, so that a planned stop can wait
// for them instead of cutting them (H14).
package lifecycle

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// State is the lifecycle state of a process.
type State string

// States of a process.
const (
	Starting State = "starting"
	Serving  State = "serving"
	Draining State = "draining"
	Stopped  State = "stopped"
)

type trigger string

const (
	triggerServe trigger = "serve"
	triggerDrain trigger = "drain"
	triggerStop  trigger = "stop"
)

// drainPollInterval is how often Drain checks whether requests still run.
const drainPollInterval = 10 * time.Millisecond

// Machine is the lifecycle of one process. It is safe for concurrent use.
type Machine struct {
	fsm     *stateless.StateMachine
	state   atomic.Value
	running atomic.Int64
}

// New returns a machine in state Starting.
func New() *Machine {
	m := &Machine{}
	m.state.Store(Starting)
	m.fsm = stateless.NewStateMachine(Starting)
	m.fsm.Configure(Starting).Permit(triggerServe, Serving).Permit(triggerDrain, Draining)
	m.fsm.Configure(Serving).Permit(triggerDrain, Draining)
	m.fsm.Configure(Draining).Permit(triggerStop, Stopped).Ignore(triggerDrain)
	m.fsm.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		m.state.Store(t.Destination.(State))
	})
	return m
}

// State returns the current state.
func (m *Machine) State() State { return m.state.Load().(State) }

// Serve moves from Starting to Serving.
func (m *Machine) Serve() error { return errors.Wrap(m.fsm.Fire(triggerServe), "start serving") }

// Begin counts a new request as running and returns true, or returns false if
// the process accepts no new requests. If it returns true, the caller must call
// End. Begin increments the count before it reads the state, so that a drain that
// starts in between waits for the request.
func (m *Machine) Begin() bool {
	m.running.Add(1)
	if m.State() == Serving {
		return true
	}
	m.running.Add(-1)
	return false
}

// BeginDuringDrain is like Begin, but returns true only if the process is
// draining. With it a process can serve late requests during a drain.
func (m *Machine) BeginDuringDrain() bool {
	m.running.Add(1)
	if m.State() == Draining {
		return true
	}
	m.running.Add(-1)
	return false
}

// End removes a finished request from the count.
func (m *Machine) End() { m.running.Add(-1) }

// Running returns the number of running requests.
func (m *Machine) Running() int64 { return m.running.Load() }

// Drain makes Begin refuse new requests and waits until no request runs or ctx
// ends. It returns the number of requests still running.
func (m *Machine) Drain(ctx context.Context) (int64, error) {
	if err := m.fsm.Fire(triggerDrain); err != nil {
		return m.Running(), errors.Wrap(err, "start draining")
	}
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for m.Running() > 0 {
		select {
		case <-ctx.Done():
			return m.Running(), nil
		case <-t.C:
		}
	}
	return 0, nil
}

// Stop moves from Draining to Stopped.
func (m *Machine) Stop() error { return errors.Wrap(m.fsm.Fire(triggerStop), "stop") }
