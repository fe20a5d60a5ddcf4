package claims

import "time"

// event is either the arrival of a claimant's append at the log, or a claimant that
// starts to look for work (item < 0).
type event struct {
	at       time.Duration
	claimant int
	item     int
}

// eventHeap orders events by time. The claimant's number breaks ties, so that the
// same seed always gives the same run.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].claimant < e[j].claimant
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
