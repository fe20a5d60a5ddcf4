package fairqueue

// teamHeap implements heap.Interface.
type teamHeap []*team

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].id < h[j].id
}

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
