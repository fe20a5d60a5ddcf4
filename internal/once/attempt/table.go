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
	self   record.HomeRef
	limits Limits

	mu      sync.Mutex
	running map[string]*trackedAttempt
	ended   *simplelru.LRU[string, *trackedAttempt]
	// occupied maps an identity to the attempt that runs or has run.
	occupied  map[once.CallID]string
	bytes     int
	horizonMS int64
}

// New returns the empty table of the agent incarnation self.
func New(self record.HomeRef, limits Limits) (*Table, error) {
	t := &Table{
		self:     self,
		limits:   limits.WithDefaults(),
		running:  make(map[string]*trackedAttempt),
		occupied: make(map[once.CallID]string),
	}
	ended, err := simplelru.NewLRU(t.limits.MaxEnded, t.forget)
	if err != nil {
		return nil, errors.Wrap(err, "create the table of ended attempts")
	}
	t.ended = ended
	return t, nil
}

// Start judges a dispatch. With VerdictRun the caller runs the attempt and
// then calls Finish, Lose or NotRun exactly once. The result is set for
// VerdictFinished.
func (t *Table) Start(d Dispatch) (Admission, *once.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Target != t.self {
		return AdmissionUnknown, nil
	}
	if e, ok := t.find(d.Attempt); ok {
		return verdictOf(e), e.result
	}
	if t.mayBeForgotten(d.Attempt) {
		return AdmissionUnknown, nil
	}
	// The log allows a second attempt only after the first was fenced. Another
	// one here means that a rule was broken elsewhere, so nothing more runs.
	if _, taken := t.occupied[d.CallID]; taken {
		t.end(d.Attempt, &trackedAttempt{identity: d.CallID, state: once.SettleUnknown})
		return AdmissionUnknown, nil
	}
	if len(t.running) >= t.limits.MaxRunning {
		t.end(d.Attempt, &trackedAttempt{identity: d.CallID, state: once.SettleFenced})
		return AdmissionTableFull, nil
	}
	t.running[d.Attempt] = &trackedAttempt{identity: d.CallID, state: once.SettleRunning}
	t.occupied[d.CallID] = d.Attempt
	return AdmissionGranted, nil
}

// Refuse fences an attempt that the agent does not admit, so that a late
// duplicate of the dispatch cannot run after the refusal was sent.
func (t *Table) Refuse(d Dispatch) once.SettleResponse {
	return t.Settle(once.SettleRequest{CallID: d.CallID, Attempt: d.Attempt, Target: d.Target})
}

// Settle tells how an attempt stands. An attempt that has not arrived is
// fenced.
func (t *Table) Settle(req once.SettleRequest) once.SettleResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := once.SettleResponse{Attempt: req.Attempt, State: once.SettleUnknown}
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
	t.end(req.Attempt, &trackedAttempt{identity: req.CallID, state: once.SettleFenced})
	answer.State = once.SettleFenced
	return answer
}

// Finish records the result of a running attempt.
func (t *Table) Finish(attempt string, r once.Result) {
	kept := r.WithoutLargeBody()
	t.stop(attempt, once.SettleFinished, &kept)
}

// MarkUnknown records that the end of a running attempt is not known, for instance
// because the service broke the connection.
func (t *Table) MarkUnknown(attempt string) { t.stop(attempt, once.SettleUnknown, nil) }

// MarkNotRun records that a started attempt did not reach the service and never will.
func (t *Table) MarkNotRun(attempt string) { t.stop(attempt, once.SettleFenced, nil) }

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
	t.end(attempt, &trackedAttempt{identity: e.identity, state: state, result: r})
}

func (t *Table) end(attempt string, e *trackedAttempt) {
	t.bytes += e.resultBytes()
	t.ended.Add(attempt, e)
	for t.bytes > t.limits.MaxResultBytes && t.ended.Len() > 0 {
		t.ended.RemoveOldest()
	}
}

// forget is called under the lock for each entry that leaves the ended table.
func (t *Table) forget(attempt string, e *trackedAttempt) {
	t.bytes -= e.resultBytes()
	if t.occupied[e.identity] == attempt {
		delete(t.occupied, e.identity)
	}
	if at, err := once.IDTime(attempt); err == nil {
		t.horizonMS = max(t.horizonMS, at.UnixMilli())
	}
}

func (t *Table) find(attempt string) (*trackedAttempt, bool) {
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

func verdictOf(e *trackedAttempt) Admission {
	switch e.state {
	case once.SettleRunning:
		return AdmissionDuplicateRunning
	case once.SettleFinished:
		return AdmissionDuplicateFinished
	case once.SettleFenced:
		return AdmissionFenced
	default:
		return AdmissionUnknown
	}
}
