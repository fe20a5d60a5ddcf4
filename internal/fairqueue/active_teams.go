package fairqueue

import "container/heap"

// activeTeams are the teams with waiting requests, lowest start tag first.
type activeTeams struct {
	heap        teamHeap
	totalWeight float64
}

func (a *activeTeams) first() *team { return a.heap[0] }

func (a *activeTeams) add(t *team) {
	heap.Push(&a.heap, t)
	a.totalWeight += t.weight
}

func (a *activeTeams) remove(t *team) {
	heap.Remove(&a.heap, t.index)
	a.totalWeight -= t.weight
	if len(a.heap) == 0 {
		a.totalWeight = 0
	}
}

// fix restores the order after the team's start tag has changed.
func (a *activeTeams) fix(t *team) {
	if t.index >= 0 {
		heap.Fix(&a.heap, t.index)
	}
}
