package fairqueue

import (
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Queue is a bounded fair queue. It is safe for concurrent use.
type Queue struct {
	opts Options

	mu    sync.Mutex
	teams map[string]*team
	// active are the teams with waiting requests.
	active activeTeams
	// virtualTime is the highest start tag of a team served so far.
	virtualTime float64
	size        int
	throughput  throughputMeter
}

// New returns an empty queue.
func New(opts Options) *Queue {
	return &Queue{opts: opts.withDefaults(), teams: make(map[string]*team)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

// Enqueue adds a request to the queue. It returns an *errkind.Error of kind
// queue_full if the team has as many waiting requests as it may have, and of kind
// deadline_unmet if, given the requests ahead of it, the request cannot be
// finished before its deadline.
func (q *Queue) Enqueue(r Request) (*QueuedRequest, error) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.team(&r)
	if t.size >= q.teamLimit() {
		return nil, errkind.New(errkind.QueueFull, "the queue has no room for another request of the team").WithRetryAfter(q.estimateWait(t, t.queues[r.Class].tokens))
	}
	wait := q.estimateWait(t, t.tokensAhead(&r, q.opts.BulkShare))
	if now.Add(wait).After(r.latestStart()) {
		return nil, errkind.New(errkind.DeadlineUnmet, "the requests ahead in the queue leave too little time to meet the deadline").WithRetryAfter(wait)
	}
	queued := &QueuedRequest{Request: r, queue: q, done: make(chan error, 1)}
	q.add(t, queued, now)
	return queued, nil
}

// teamLimit returns the maximum number of waiting requests of one team, which is
// the number of free places in the queue. A single team can thus occupy at most
// half of the queue, and other teams find room without evicting its requests.
func (q *Queue) teamLimit() int { return q.opts.Limit - q.size }

// estimateWait estimates how long it takes to serve the given number of the team's
// tokens. It assumes that the teams with waiting requests stay the same. It returns
// 0 until the throughput has been measured.
func (q *Queue) estimateWait(t *team, tokens float64) time.Duration {
	if q.throughput.tokensPerS <= 0 {
		return 0
	}
	totalWeight := q.active.totalWeight
	if t.size == 0 {
		totalWeight += t.weight
	}
	share := q.throughput.tokensPerS * t.weight / totalWeight
	return time.Duration(tokens / share * float64(time.Second))
}

func (q *Queue) team(r *Request) *team {
	t, ok := q.teams[r.Team]
	if !ok {
		t = &team{id: r.Team, weight: r.Weight, index: -1}
		q.teams[r.Team] = t
	}
	if t.size == 0 {
		t.weight = r.Weight
	}
	return t
}

func (q *Queue) add(t *team, queued *QueuedRequest, now time.Time) {
	q.throughput.start(now)
	wasIdle := t.size == 0
	t.add(queued)
	q.size++
	if wasIdle {
		// A team gets no credit for the time in which it was idle.
		t.startTag = max(t.startTag, q.virtualTime)
		q.active.add(t)
	}
}

// Dequeue removes the next request from the queue for dispatch and returns it, or
// nil if there is none. It refuses requests that can no longer be finished before
// their deadlines. Call it when an upstream can take a request.
func (q *Queue) Dequeue() *QueuedRequest {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.size > 0 {
		t := q.active.first()
		queued := t.next().requests[0]
		q.virtualTime = max(q.virtualTime, t.startTag)
		q.remove(t, queued)
		if now.After(queued.latestStart()) {
			queued.done <- errDeadlineUnmet(nil)
			continue
		}
		t.charge(queued.Class, queued.Tokens, q.opts.BulkShare)
		q.active.fix(t)
		q.throughput.recordDispatch(now, queued.Tokens)
		q.stopIfEmpty(now)
		queued.done <- nil
		return queued
	}
	q.stopIfEmpty(now)
	return nil
}

func (q *Queue) remove(t *team, queued *QueuedRequest) {
	t.remove(queued)
	q.size--
	if t.size == 0 {
		q.active.remove(t)
	}
}

// stopIfEmpty ends the busy period if no request waits.
func (q *Queue) stopIfEmpty(now time.Time) {
	if q.size == 0 {
		q.throughput.stop(now)
	}
}

// removeWaiting removes the request if it still waits, and reports whether it did.
func (q *Queue) removeWaiting(queued *QueuedRequest) bool {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if queued.index < 0 {
		return false
	}
	q.remove(q.teams[queued.Team], queued)
	q.stopIfEmpty(now)
	return true
}

// adjustCharge replaces the estimated cost of a dispatched request by the actual
// one.
func (q *Queue) adjustCharge(queued *QueuedRequest, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.teams[queued.Team]
	if !ok {
		return
	}
	t.charge(queued.Class, actual-queued.Tokens, q.opts.BulkShare)
	q.active.fix(t)
}

// Sweep removes idle teams to free memory. It keeps teams whose start tag is
// ahead of the virtual time, because without the tag they could exceed their
// share. Call it periodically, for example once a minute.
func (q *Queue) Sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, t := range q.teams {
		if t.size == 0 && t.startTag <= q.virtualTime {
			delete(q.teams, id)
		}
	}
}
