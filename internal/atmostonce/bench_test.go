package atmostonce_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

var callCounts = []int{1000, 10_000, 100_000}

// records returns the records of n intents and their results, as a stream holds them.
func records(n int) []backing.Record {
	var out []backing.Record
	for i := range n {
		r := newIntent(uint64(i))
		intent := atmostonce.Record{ID: r.Attempt, Kind: atmostonce.RecordIntent, CallID: r.CallID, Digest: r.Digest, Attempt: r.Attempt, Target: self, Author: self}
		result := atmostonce.Record{ID: r.Key, Kind: atmostonce.RecordResult, CallID: r.CallID, Digest: r.Digest, Attempt: r.Attempt, Result: &atmostonce.Result{Status: 200, Body: make([]byte, 256)}}
		for _, rec := range []atmostonce.Record{intent, result} {
			data, _ := rec.Encode()
			out = append(out, backing.Record{Offset: backing.Offset(len(out) + 1), Data: data})
		}
	}
	return out
}

// BenchmarkPartitionState measures a partition state with 256-byte results: the
// time and the memory per call.
func BenchmarkPartitionState(b *testing.B) {
	for _, n := range callCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := records(n)
			var state *atmostonce.PartitionState
			var before, after runtime.MemStats
			for b.Loop() {
				state = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				state = atmostonce.NewPartitionState()
				for _, r := range all {
					state.ApplyRecord(r)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(all)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(state.Len()), "B/identity")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/identity")
		})
		b.Run(fmt.Sprintf("%d/snapshot", n), func(b *testing.B) {
			state := atmostonce.NewPartitionState()
			for _, r := range records(n) {
				state.ApplyRecord(r)
			}
			bytes := 0
			for b.Loop() {
				bytes = 0
				for _, r := range state.Snapshot("s") {
					data, _ := r.Encode()
					bytes += len(data)
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/identity")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/identity")
		})
	}
}

// BenchmarkWriter measures the time that the writer needs per intent, with the
// given number of calls in its state and a log that answers immediately.
func BenchmarkWriter(b *testing.B) {
	for _, n := range callCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			w := startWriter(ctx, standin.NewLog(), 1, atmostonce.Options{BatchWindow: time.Microsecond, AppendsPerSecond: 1e9, QueueEntries: 1 << 20, SnapshotRecords: 1 << 30})
			next := uint64(0)
			sendIntents := func(count int) {
				done := make(chan error, count)
				for range count {
					req := newIntent(next)
					next++
					go func() { _, err := w.Intent(ctx, req); done <- err }()
				}
				for range count {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
			}
			sendIntents(n)
			for b.Loop() {
				sendIntents(100)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*100), "ns/intent")
		})
	}
}

// BenchmarkDigest measures the digest of a request by its body size.
func BenchmarkDigest(b *testing.B) {
	for _, kib := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("%dKiB", kib), func(b *testing.B) {
			body := make([]byte, kib<<10)
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				atmostonce.DigestOf("POST", "/svc/buy", body)
			}
		})
	}
}
