package fairqueue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// outcome says when and how the wait of one request ended.
type outcome struct {
	enqueued, ended, latestStart, cancel time.Time
	refused                              error
}

// simulate queues 400 random requests while a dispatcher serves one every 20 ms.
// After every 100th the dispatcher pauses. It returns the outcomes.
func simulate(seed uint64, pause time.Duration) []outcome {
	const requests = 400
	rng := rand.New(rand.NewPCG(seed, 1))
	q := New(Options{Limit: 64})
	ctx, stop := context.WithCancel(context.Background())
	var dispatcher sync.WaitGroup
	dispatcher.Go(func() { dispatch(ctx, q, pause) })
	out := make([]outcome, requests)
	var callers sync.WaitGroup
	for i := range out {
		time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
		r := Request{
			Team:             fmt.Sprint(rng.IntN(4)),
			Class:            Class(rng.IntN(int(classCount))),
			Tokens:           float64(1 + rng.IntN(100)),
			Deadline:         time.Now().Add(time.Duration(rng.Int64N(int64(3 * time.Second)))),
			ExpectedDuration: time.Duration(rng.Int64N(int64(500 * time.Millisecond))),
		}
		waitTimeout := time.Duration(rng.Int64N(int64(6 * time.Second)))
		callers.Go(func() { out[i] = wait(q, r, waitTimeout) })
	}
	callers.Wait()
	stop()
	dispatcher.Wait()
	return out
}

func dispatch(ctx context.Context, q *Queue, pause time.Duration) {
	for n := 1; ctx.Err() == nil; n++ {
		time.Sleep(20 * time.Millisecond)
		if n%100 == 0 {
			time.Sleep(pause)
		}
		if t := q.Dequeue(); t != nil {
			t.Done(t.Tokens / 2)
		}
	}
}

func wait(q *Queue, r Request, waitTimeout time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out := outcome{enqueued: time.Now(), latestStart: r.latestStart(), cancel: time.Now().Add(waitTimeout)}
	t, err := q.Enqueue(r)
	if err == nil {
		err = t.Wait(ctx)
	}
	out.refused, out.ended = err, time.Now()
	return out
}

// TestNothingIsDropped guards against a waiting request that is neither
// dispatched nor refused by its latest start, even while the dispatcher is
// paused (H3, F8).
func TestNothingIsDropped(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Second, 10 * time.Second} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("pause=%v/seed=%d", pause, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					for _, o := range simulate(seed, pause) {
						latestEnd := o.latestStart
						if latestEnd.Before(o.enqueued) {
							latestEnd = o.enqueued
						}
						if latestEnd.After(o.cancel) {
							latestEnd = o.cancel
						}
						is.True(!o.ended.After(latestEnd))
						kind := errkind.From(o.refused).Kind
						is.True(o.refused == nil || kind == errkind.DeadlineUnmet || kind == errkind.QueueFull)
						is.True(o.refused == nil || errkind.From(o.refused).Ran == errkind.RanNo)
					}
				})
			})
		}
	}
}

// TestOrder guards against requests that are served in the wrong order of class
// or deadline, and against bulk requests that starve behind urgent ones.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{BulkShare: 0.25})
		for i := range 8 {
			for _, class := range []Class{Bulk, Normal, Urgent} {
				r := Request{Team: "t", Class: class, Tokens: 10, Deadline: time.Now().Add(time.Hour - time.Duration(i)*time.Second)}
				_, err := q.Enqueue(r)
				is.NoErr(err)
			}
		}
		var counts [classCount]int
		last := time.Time{}
		for range 8 {
			queued := q.Dequeue()
			counts[queued.Class]++
			if queued.Class == Urgent {
				is.True(last.Before(queued.Deadline))
				last = queued.Deadline
			}
		}
		is.Equal(counts, [classCount]int{6, 0, 2})
	})
}

// TestRefusals guards against a team that fills the whole queue, and against
// accepting a request whose deadline cannot be met behind the waiting ones.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Limit: 100})
		greedy := Request{Team: "hog", Tokens: 100, Deadline: time.Now().Add(time.Hour)}
		var err error
		for err == nil {
			_, err = q.Enqueue(greedy)
		}
		is.True(errkind.Is(err, errkind.QueueFull))
		is.Equal(q.Len(), 50)
		for range 10 { // 100 tokens per 100 ms
			time.Sleep(100 * time.Millisecond)
			is.True(q.Dequeue() != nil)
		}
		tight := Request{Team: "hog", Tokens: 100, Deadline: time.Now().Add(3 * time.Second), Class: Bulk}
		_, err = q.Enqueue(tight)
		is.NoErr(err) // bulk has its own guaranteed share
		tight.Class, tight.Deadline = Normal, time.Now().Add(500*time.Hour)
		tight.ExpectedDuration = 500*time.Hour - 3*time.Second
		_, err = q.Enqueue(tight)
		is.True(errkind.Is(err, errkind.DeadlineUnmet))
		tight.Team = "other"
		_, err = q.Enqueue(tight)
		is.NoErr(err) // another team does not wait behind this one
	})
}

// BenchmarkQueue measures one Enqueue and one Dequeue on a queue that holds many
// requests of ten teams.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q := New(Options{Limit: 100 * n})
			far := time.Now().Add(1000 * time.Hour)
			enter := func(i int) {
				r := Request{Team: fmt.Sprint(i % 10), Class: Class(i % 3), Tokens: 1, Deadline: far.Add(time.Duration(i*7919%n) * time.Second)}
				if _, err := q.Enqueue(r); err != nil {
					b.Fatal(err)
				}
			}
			for i := range n {
				enter(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				enter(i)
				q.Dequeue()
			}
		})
	}
}
