package fairqueue

import "container/heap"

// classQueue holds the waiting requests of one class of one team. It implements
// heap.Interface, with the earliest deadline first.
type classQueue struct {
	requests []*QueuedRequest
	tokens   float64
}

// Len implements heap.Interface.
func (q *classQueue) Len() int { return len(q.requests) }

// Less implements heap.Interface.
func (q *classQueue) Less(i, j int) bool {
	return q.requests[i].Deadline.Before(q.requests[j].Deadline)
}

// Swap implements heap.Interface.
func (q *classQueue) Swap(i, j int) {
	q.requests[i], q.requests[j] = q.requests[j], q.requests[i]
	q.requests[i].index = i
	q.requests[j].index = j
}

// Push implements heap.Interface.
func (q *classQueue) Push(x any) {
	queued := x.(*QueuedRequest)
	queued.index = len(q.requests)
	q.requests = append(q.requests, queued)
}

// Pop implements heap.Interface.
func (q *classQueue) Pop() any {
	last := len(q.requests) - 1
	queued := q.requests[last]
	q.requests[last] = nil
	q.requests = q.requests[:last]
	queued.index = -1
	return queued
}

func (q *classQueue) add(queued *QueuedRequest) {
	heap.Push(q, queued)
	q.tokens += queued.Tokens
}

func (q *classQueue) remove(queued *QueuedRequest) {
	heap.Remove(q, queued.index)
	q.tokens -= queued.Tokens
	if len(q.requests) == 0 {
		q.tokens = 0
	}
}

// tokensAhead returns the tokens of the waiting requests that are served before r.
func (q *classQueue) tokensAhead(r *Request) float64 {
	sum := 0.0
	for _, queued := range q.requests {
		if !queued.Deadline.After(r.Deadline) {
			sum += queued.Tokens
		}
	}
	return sum
}
