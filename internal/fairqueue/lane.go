package fairqueue

import "container/heap"

// lane holds the waiting requests of one class of one team. It implements
// heap.Interface, with the earliest deadline first.
type lane struct {
	tickets []*QueuedRequest
	tokens  float64
}

// Len implements heap.Interface.
func (l *lane) Len() int { return len(l.tickets) }

// Less implements heap.Interface.
func (l *lane) Less(i, j int) bool { return l.tickets[i].Deadline.Before(l.tickets[j].Deadline) }

// Swap implements heap.Interface.
func (l *lane) Swap(i, j int) {
	l.tickets[i], l.tickets[j] = l.tickets[j], l.tickets[i]
	l.tickets[i].index = i
	l.tickets[j].index = j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	t := x.(*QueuedRequest)
	t.index = len(l.tickets)
	l.tickets = append(l.tickets, t)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	last := len(l.tickets) - 1
	t := l.tickets[last]
	l.tickets[last] = nil
	l.tickets = l.tickets[:last]
	t.index = -1
	return t
}

func (l *lane) add(t *QueuedRequest) {
	heap.Push(l, t)
	l.tokens += t.Tokens
}

func (l *lane) remove(t *QueuedRequest) {
	heap.Remove(l, t.index)
	l.tokens -= t.Tokens
	if len(l.tickets) == 0 {
		l.tokens = 0
	}
}

// ahead returns the tokens of the requests that come before r.
func (l *lane) ahead(r *Request) float64 {
	sum := 0.0
	for _, t := range l.tickets {
		if !t.Deadline.After(r.Deadline) {
			sum += t.Tokens
		}
	}
	return sum
}
