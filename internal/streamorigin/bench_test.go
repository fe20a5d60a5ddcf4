package streamorigin

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// BenchmarkBegan reports the cost of recording a stream, and the bytes of its record, while a
// service has one version and while it has two.
func BenchmarkBegan(b *testing.B) {
	for name, versions := range map[string][]string{"one version": {"v1"}, "two versions": {"v1", "v2"}} {
		b.Run(name, func(b *testing.B) {
			t := New(Options{Log: &fakeLog{}})
			t.ListConfirmed(time.Now())
			t.Observe(viewOf(upstreams(versions...)))
			u := &fleet.Upstream{ID: "v1", Service: "s", Version: "v1"}
			ids := make([]string, maxPending)
			for i := range ids {
				ids[i] = fmt.Sprintf("%016x", i*7919)
			}
			b.ReportAllocs()
			records, bytes := 0, 0
			for i := 0; b.Loop(); i++ {
				t.Began(ids[i%maxPending], u)
				if i%100 == 99 {
					if batch := t.takePending(); batch.n > 0 {
						data, err := t.encode(batch)
						if err != nil {
							b.Fatal(err)
						}
						records, bytes = records+batch.n, bytes+len(data)
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(max(1, records)), "B/stream-written")
		})
	}
}

// BenchmarkTableMemory reports the memory that one remembered stream takes.
func BenchmarkTableMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newTable()
		now := time.Now()
		for i := range maxEntries {
			t.put(keyOf(fmt.Sprint(i)), entry{origin: Origin{"s", "v1"}, upstream: "i-1", at: now}, now, time.Minute)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(t)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxEntries, "B/stream")
}
