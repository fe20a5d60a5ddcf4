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
	// clock is the virtual time: the tag of the team served last.
	clock    float64
	size     int
	capacity capacity
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

// Enter queues a request. It refuses with an *errkind.Error: queue_full when
// the team may not take more of the queue, deadline_unmet when the request
// cannot be served in time behind those that wait.
func (q *Queue) Enter(r Request) (*Ticket, error) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.team(&r)
	if t.size >= q.room() {
		return nil, errkind.New(errkind.QueueFull, "the team's part of the queue is full").WithRetryAfter(q.wait(t, t.lanes[r.Class].tokens))
	}
	wait := q.wait(t, t.ahead(&r, q.opts.BulkShare))
	if now.Add(wait).After(r.latestStart()) {
		return nil, errkind.New(errkind.DeadlineUnmet, "the request cannot be finished in time behind those that wait").WithRetryAfter(wait)
	}
	ticket := &Ticket{Request: r, queue: q, done: make(chan error, 1)}
	q.add(t, ticket, now)
	return ticket, nil
}

// room is the most requests of one team: as many as there are free places. So
// one team never fills the queue, and no waiting request has to make room.
func (q *Queue) room() int { return q.opts.Limit - q.size }

// wait returns the time in which the team is served the given tokens if the
// teams that wait now go on waiting. Before the first measurement it is 0.
func (q *Queue) wait(t *team, tokens float64) time.Duration {
	if q.capacity.rate <= 0 {
		return 0
	}
	weights := q.active.weights
	if t.size == 0 {
		weights += t.weight
	}
	share := q.capacity.rate * t.weight / weights
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

func (q *Queue) add(t *team, ticket *Ticket, now time.Time) {
	q.capacity.start(now)
	idle := t.size == 0
	t.enter(ticket)
	q.size++
	if idle {
		// An idle team does not save up service.
		t.tag = max(t.tag, q.clock)
		q.active.add(t)
	}
}

// Next takes the next request out of the queue for dispatch, or returns nil.
// Requests that can no longer be finished in time are refused on the way. Call
// it when an upstream can take a request.
func (q *Queue) Next() *Ticket {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.size > 0 {
		t := q.active.first()
		ticket := t.next().tickets[0]
		q.clock = max(q.clock, t.tag)
		q.remove(t, ticket)
		if now.After(ticket.latestStart()) {
			ticket.done <- errUnmet(nil)
			continue
		}
		t.charge(ticket.Class, ticket.Tokens, q.opts.BulkShare)
		q.active.fix(t)
		q.capacity.served(now, ticket.Tokens)
		q.idle(now)
		ticket.done <- nil
		return ticket
	}
	q.idle(now)
	return nil
}

func (q *Queue) remove(t *team, ticket *Ticket) {
	t.leave(ticket)
	q.size--
	if t.size == 0 {
		q.active.remove(t)
	}
}

func (q *Queue) idle(now time.Time) {
	if q.size == 0 {
		q.capacity.stop(now)
	}
}

// leave takes a waiting request out and reports whether it still waited.
func (q *Queue) leave(ticket *Ticket) bool {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if ticket.index < 0 {
		return false
	}
	q.remove(q.teams[ticket.Team], ticket)
	q.idle(now)
	return true
}

func (q *Queue) settle(ticket *Ticket, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.teams[ticket.Team]
	if !ok {
		return
	}
	t.charge(ticket.Class, actual-ticket.Tokens, q.opts.BulkShare)
	q.active.fix(t)
}

// Sweep forgets teams that have no waiting requests and no lead. It may be
// called at any time, once a minute for example.
func (q *Queue) Sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, t := range q.teams {
		if t.size == 0 && t.tag <= q.clock {
			delete(q.teams, id)
		}
	}
}
