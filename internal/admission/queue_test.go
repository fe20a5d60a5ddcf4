package admission

import (
	"testing"

	"github.com/matryer/is"
)

// TestQueueIsBounded guards against requests that wait without a bound, and against an urgent one
// that finds no place because less urgent ones wait.
func TestQueueIsBounded(t *testing.T) {
	check := is.New(t)
	q := Queue{MaxBytes: 10 * MaxWaiting}
	waiting := func(urgency int, bytes int64) *Waiting {
		return &Waiting{Urgency: urgency, Bytes: bytes, Evicted: make(chan struct{})}
	}
	first, last := waiting(1, 10), waiting(1, 10)
	check.True(q.Add(first))
	for range MaxWaiting - 2 {
		check.True(q.Add(waiting(1, 10)))
	}
	check.True(q.Add(last))
	check.True(!q.Add(waiting(1, 1))) // those before it leave no place
	check.True(q.Add(waiting(0, 10)))
	<-last.Evicted
	check.True(q.Add(waiting(0, 95))) // takes the memory of nine more and a half
	check.Equal(q.Len(), MaxWaiting-9)
	check.True(!q.Add(waiting(0, 10*MaxWaiting)))
	q.Remove(first)
	check.Equal(q.bytes, int64(10+95+10*(MaxWaiting-12)))
}
