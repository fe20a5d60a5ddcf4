// Package attempt is the agent's table of attempts at calls that run at most
// once. It lets each attempt run at most once. If an entry instance settles an
// attempt before its dispatch arrives, the table fences the attempt, so that it
// never runs.
package attempt

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Table holds the attempts of one agent incarnation. It is safe for concurrent
// use.
//
// Memory is bounded: the table evicts the oldest ended attempts and keeps the
// newest time stamp among the evicted ids. An unseen attempt with this time
// stamp or an older one may have been evicted, so the table neither runs it nor
// reports it as fenced.
type Table struct {
	self   record.InstanceRef
	limits Limits

	mu      sync.Mutex
	running map[string]*trackedAttempt
	ended   *simplelru.LRU[string, *trackedAttempt]
	// attemptOf maps a call to its attempt that is running or has run.
	attemptOf        map[atmostonce.CallID]string
	resultBytes      int
	evictedThroughMS int64
}

// New returns the empty table of the agent incarnation self.
func New(self record.InstanceRef, limits Limits) (*Table, error) {
	t := &Table{
		self:      self,
		limits:    limits.WithDefaults(),
		running:   make(map[string]*trackedAttempt),
		attemptOf: make(map[atmostonce.CallID]string),
	}
	ended, err := simplelru.NewLRU(t.limits.MaxEnded, t.onEvict)
	if err != nil {
		return nil, errors.Wrap(err, "create the table of ended attempts")
	}
	t.ended = ended
	return t, nil
}

// Start decides whether a dispatch may run. If it returns AdmissionGranted, the
// caller runs the attempt and then calls Finish, MarkUnknown or MarkNotRun
// exactly once. The result is set only for AdmissionDuplicateFinished.
func (t *Table) Start(d Dispatch) (Admission, *atmostonce.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Target != t.self {
		return AdmissionUnknown, nil
	}
	if a, ok := t.find(d.Attempt); ok {
		return admissionOf(a), a.result
	}
	if t.mayBeEvicted(d.Attempt) {
		return AdmissionUnknown, nil
	}
	// The log allows a second attempt of a call only after the first was fenced. A
	// different attempt here means that another component broke this rule, so the
	// table refuses it.
	if _, exists := t.attemptOf[d.CallID]; exists {
		t.addEnded(d.Attempt, &trackedAttempt{callID: d.CallID, state: atmostonce.SettleUnknown})
		return AdmissionUnknown, nil
	}
	if len(t.running) >= t.limits.MaxRunning {
		t.addEnded(d.Attempt, &trackedAttempt{callID: d.CallID, state: atmostonce.SettleFenced})
		return AdmissionTableFull, nil
	}
	t.running[d.Attempt] = &trackedAttempt{callID: d.CallID, state: atmostonce.SettleRunning}
	t.attemptOf[d.CallID] = d.Attempt
	return AdmissionGranted, nil
}

// Refuse fences an attempt that the agent does not admit, so that a late
// duplicate of the dispatch cannot run after the agent has refused it.
func (t *Table) Refuse(d Dispatch) atmostonce.SettleResponse {
	return t.Settle(atmostonce.SettleRequest{CallID: d.CallID, Attempt: d.Attempt, Target: d.Target})
}

// Settle returns the state of an attempt. It fences an attempt that has not
// arrived.
func (t *Table) Settle(req atmostonce.SettleRequest) atmostonce.SettleResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := atmostonce.SettleResponse{Attempt: req.Attempt, State: atmostonce.SettleUnknown}
	if req.Target != t.self {
		return answer
	}
	if a, ok := t.find(req.Attempt); ok {
		answer.State = a.state
		answer.Result = a.result
		return answer
	}
	if t.mayBeEvicted(req.Attempt) {
		return answer
	}
	t.addEnded(req.Attempt, &trackedAttempt{callID: req.CallID, state: atmostonce.SettleFenced})
	answer.State = atmostonce.SettleFenced
	return answer
}

// Finish records the result of a running attempt.
func (t *Table) Finish(attempt string, r atmostonce.Result) {
	kept := r.WithoutLargeBody()
	t.moveToEnded(attempt, atmostonce.SettleFinished, &kept)
}

// MarkUnknown records that the outcome of a running attempt is unknown, for
// instance because the service closed the connection.
func (t *Table) MarkUnknown(attempt string) { t.moveToEnded(attempt, atmostonce.SettleUnknown, nil) }

// MarkNotRun records that a started attempt did not reach the service and never will.
func (t *Table) MarkNotRun(attempt string) { t.moveToEnded(attempt, atmostonce.SettleFenced, nil) }

// Len returns the number of attempts kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running) + t.ended.Len()
}

func (t *Table) moveToEnded(attempt string, state atmostonce.SettleState, r *atmostonce.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.running[attempt]
	if !ok {
		return
	}
	delete(t.running, attempt)
	if state == atmostonce.SettleFenced {
		delete(t.attemptOf, a.callID)
	}
	t.addEnded(attempt, &trackedAttempt{callID: a.callID, state: state, result: r})
}

func (t *Table) addEnded(attempt string, a *trackedAttempt) {
	t.resultBytes += a.resultBytes()
	t.ended.Add(attempt, a)
	for t.resultBytes > t.limits.MaxTotalResultBytes && t.ended.Len() > 0 {
		t.ended.RemoveOldest()
	}
}

// onEvict is called, with mu held, for each attempt that is evicted from ended.
func (t *Table) onEvict(attempt string, a *trackedAttempt) {
	t.resultBytes -= a.resultBytes()
	if t.attemptOf[a.callID] == attempt {
		delete(t.attemptOf, a.callID)
	}
	if at, err := atmostonce.IDTime(attempt); err == nil {
		t.evictedThroughMS = max(t.evictedThroughMS, at.UnixMilli())
	}
}

func (t *Table) find(attempt string) (*trackedAttempt, bool) {
	if a, ok := t.running[attempt]; ok {
		return a, true
	}
	// Peek does not refresh the entry, so ended attempts are evicted in the order in which they ended.
	return t.ended.Peek(attempt)
}

// mayBeEvicted reports whether the table may have evicted the attempt. It returns
// true for an id without a time stamp, which no entry instance sends.
func (t *Table) mayBeEvicted(attempt string) bool {
	at, err := atmostonce.IDTime(attempt)
	return err != nil || at.UnixMilli() <= t.evictedThroughMS
}

func admissionOf(a *trackedAttempt) Admission {
	switch a.state {
	case atmostonce.SettleRunning:
		return AdmissionDuplicateRunning
	case atmostonce.SettleFinished:
		return AdmissionDuplicateFinished
	case atmostonce.SettleFenced:
		return AdmissionFenced
	default:
		return AdmissionUnknown
	}
}
