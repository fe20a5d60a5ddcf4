package residency

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkAcquireLoaded measures the request path on a loaded checkpoint.
func BenchmarkAcquireLoaded(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("checkpoints=", n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			m, _, _ := newTestManager(ctx, n, 0)
			release, err := m.Acquire(ctx, "m1", "t", time.Now().Add(time.Minute))
			if err != nil {
				b.Fatal(err)
			}
			release()
			b.ReportAllocs()
			deadline := time.Now().Add(time.Hour)
			for b.Loop() {
				release, _ := m.Acquire(ctx, "m1", "t", deadline)
				release()
			}
		})
	}
}

// BenchmarkReplicaMemory measures the memory of the manager per checkpoint, with
// recorded gaps.
func BenchmarkReplicaMemory(b *testing.B) {
	for _, n := range []int{200, 2000, 13190} {
		b.Run(fmt.Sprint("checkpoints=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			m := New(Options{})
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				for i := range n {
					m.replica(fmt.Sprint("m", i)).gaps.Record(time.Minute)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/checkpoint")
			runtime.KeepAlive(m)
		})
	}
}
