// Package attempt is the agent's table of attempts at calls that run at most
// once. It lets each attempt run once, and fences an attempt for good when an
// entry instance settles it before it arrived.
package attempt

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Table belongs to one incarnation of an agent. It is safe for concurrent use.
//
// Memory is bounded: the oldest ended attempts are forgotten, and the horizon
// rises to the newest time stamp among the forgotten ids. An unseen attempt at
// or below the horizon may be a forgotten one, so it neither runs nor is called
// fenced.
type Table struct {
	self   record.InstanceRef
	limits Limits

	mu      sync.Mutex
	running map[string]*entry
	ended   *simplelru.LRU[string, *entry]
	// occupied maps an identity to the attempt that runs or has run.
	occupied  map[once.Identity]string
	bytes     int
	horizonMS int64
}

// New returns the empty table of the agent incarnation self.
func New(self record.InstanceRef, limits Limits) (*Table, error) {
	t := &Table{
		self:     self,
		limits:   limits.WithDefaults(),
		running:  make(map[string]*entry),
		occupied: make(map[once.Identity]string),
	}
	ended, err := simplelru.NewLRU(t.limits.Ended, t.forget)
	if err != nil {
		return nil, errors.Wrap(err, "create the table of ended attempts")
	}
	t.ended = ended
	return t, nil
}

// Start judges a dispatch. With VerdictRun the caller runs the attempt and
// then calls Finish, Lose or NotRun exactly once. The result is set for
// VerdictFinished.
func (t *Table) Start(d Dispatch) (Verdict, *once.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Target != t.self {
		return VerdictUnknown, nil
	}
	if e, ok := t.find(d.Attempt); ok {
		return verdictOf(e), e.result
	}
	if t.mayBeForgotten(d.Attempt) {
		return VerdictUnknown, nil
	}
	// The log allows a second attempt only after the first was fenced. Another
	// one here means that a rule was broken elsewhere, so nothing more runs.
	if _, taken := t.occupied[d.Identity]; taken {
		t.end(d.Attempt, &entry{identity: d.Identity, state: once.SettleUnknown})
		return VerdictUnknown, nil
	}
	if len(t.running) >= t.limits.Running {
		t.end(d.Attempt, &entry{identity: d.Identity, state: once.SettleFenced})
		return VerdictFull, nil
	}
	t.running[d.Attempt] = &entry{identity: d.Identity, state: once.SettleRunning}
	t.occupied[d.Identity] = d.Attempt
	return VerdictRun, nil
}

// Refuse fences an attempt that the agent does not admit, so that a late
// duplicate of the dispatch cannot run after the refusal was sent.
func (t *Table) Refuse(d Dispatch) once.SettleAnswer {
	return t.Settle(once.SettleRequest{Identity: d.Identity, Attempt: d.Attempt, Target: d.Target})
}

// Settle tells how an attempt stands. An attempt that has not arrived is
// fenced.
func (t *Table) Settle(req once.SettleRequest) once.SettleAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := once.SettleAnswer{Attempt: req.Attempt, State: once.SettleUnknown}
	if req.Target != t.self {
		return answer
	}
	if e, ok := t.find(req.Attempt); ok {
		answer.State = e.state
		answer.Result = e.result
		return answer
	}
	if t.mayBeForgotten(req.Attempt) {
		return answer
	}
	t.end(req.Attempt, &entry{identity: req.Identity, state: once.SettleFenced})
	answer.State = once.SettleFenced
	return answer
}

// Finish records the result of a running attempt.
func (t *Table) Finish(attempt string, r once.Result) {
	kept := r.Kept()
	t.stop(attempt, once.SettleFinished, &kept)
}

// Lose records that the end of a running attempt is not known, for instance
// because the service broke the connection.
func (t *Table) Lose(attempt string) { t.stop(attempt, once.SettleUnknown, nil) }

// NotRun records that a started attempt did not reach the service and never will.
func (t *Table) NotRun(attempt string) { t.stop(attempt, once.SettleFenced, nil) }

// Len returns the number of attempts remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running) + t.ended.Len()
}

func (t *Table) stop(attempt string, state once.SettleState, r *once.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.running[attempt]
	if !ok {
		return
	}
	delete(t.running, attempt)
	if state == once.SettleFenced {
		delete(t.occupied, e.identity)
	}
	t.end(attempt, &entry{identity: e.identity, state: state, result: r})
}

func (t *Table) end(attempt string, e *entry) {
	t.bytes += e.bytes()
	t.ended.Add(attempt, e)
	for t.bytes > t.limits.ResultBytes && t.ended.Len() > 0 {
		t.ended.RemoveOldest()
	}
}

// forget is called under the lock for each entry that leaves the ended table.
func (t *Table) forget(attempt string, e *entry) {
	t.bytes -= e.bytes()
	if t.occupied[e.identity] == attempt {
		delete(t.occupied, e.identity)
	}
	if at, err := once.IDTime(attempt); err == nil {
		t.horizonMS = max(t.horizonMS, at.UnixMilli())
	}
}

func (t *Table) find(attempt string) (*entry, bool) {
	if e, ok := t.running[attempt]; ok {
		return e, true
	}
	// Peek keeps the order of ending; a look-up must not prolong a life.
	return t.ended.Peek(attempt)
}

// mayBeForgotten also holds for an id without a time, which no entry instance sends.
func (t *Table) mayBeForgotten(attempt string) bool {
	at, err := once.IDTime(attempt)
	return err != nil || at.UnixMilli() <= t.horizonMS
}

func verdictOf(e *entry) Verdict {
	switch e.state {
	case once.SettleRunning:
		return VerdictRunning
	case once.SettleFinished:
		return VerdictFinished
	case once.SettleFenced:
		return VerdictFenced
	default:
		return VerdictUnknown
	}
}
