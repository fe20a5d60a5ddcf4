package once_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

var sizes = []int{1000, 10_000, 100_000}

// records returns n intents and their results as a stream holds them.
func records(n int) []platform.Record {
	var out []platform.Record
	for i := range n {
		r := intentFor(uint64(i))
		intent := once.Record{ID: r.Attempt, Kind: once.RecordIntent, CallID: r.CallID, Digest: r.Digest, Attempt: r.Attempt, Target: self, Author: self}
		result := once.Record{ID: r.Key, Kind: once.RecordResult, CallID: r.CallID, Digest: r.Digest, Attempt: r.Attempt, Result: &once.Result{Status: 200, Body: make([]byte, 256)}}
		for _, rec := range []once.Record{intent, result} {
			data, _ := rec.Encode()
			out = append(out, platform.Record{Offset: platform.Offset(len(out) + 1), Data: data})
		}
	}
	return out
}

// BenchmarkFold measures the fold of a partition with 256-byte results: time per
// identity, and the memory that the fold keeps per identity.
func BenchmarkFold(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := records(n)
			var f *once.Fold
			var before, after runtime.MemStats
			for b.Loop() {
				f = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				f = once.NewFold()
				for _, r := range all {
					f.ApplyRecord(r)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(all)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(f.Len()), "B/identity")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/identity")
		})
		b.Run(fmt.Sprintf("%d/snapshot", n), func(b *testing.B) {
			f := once.NewFold()
			for _, r := range records(n) {
				f.ApplyRecord(r)
			}
			bytes := 0
			for b.Loop() {
				bytes = 0
				for _, r := range f.Snapshot("s") {
					data, _ := r.Encode()
					bytes += len(data)
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/identity")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/identity")
		})
	}
}

// BenchmarkWriter measures the writer's cost per intent with the given number of
// identities in its fold and an immediate log.
func BenchmarkWriter(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			w := single(ctx, standin.NewLog(), 1, once.Options{Window: time.Microsecond, AppendsPerS: 1e9, QueueEntries: 1 << 20, SnapshotAfter: 1 << 30})
			next := uint64(0)
			ask := func(count int) {
				done := make(chan error, count)
				for range count {
					req := intentFor(next)
					next++
					go func() { _, err := w.Intent(ctx, req); done <- err }()
				}
				for range count {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
			}
			ask(n)
			for b.Loop() {
				ask(100)
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
				once.DigestOf("POST", "/svc/buy", body)
			}
		})
	}
}
