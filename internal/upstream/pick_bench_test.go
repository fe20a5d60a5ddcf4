package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// benchPool returns a pool of n engines, each with three of 3 n models loaded and three
// others on disk, as in a large deployment of rarely used models.
func benchPool(n int) *Pool {
	v := testView(n, max(1, n/2))
	models := v.Config.Services["e"].Engine.Models
	name := func(i int) string { return fmt.Sprint("model-", i%(3*n)) }
	for i := range 3 * n {
		models[name(i)] = fleet.Model{Name: name(i), StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second}
	}
	p := newPool(v)
	for i := range n {
		h := &fleet.Holdings{Adapters: make(map[string][]string)}
		for j := range 3 {
			h.Adapters[name(3*i+j)] = nil
			h.OnDisk = append(h.OnDisk, name(3*i+j), name(3*i+j+3))
		}
		p.UpdateAgentState(fmt.Sprint("i-", i), &agentapi.State{Reachable: true, StartedAtMS: 1, Holdings: h}, time.Now().Add(time.Hour))
	}
	return p
}

// BenchmarkPick measures one choice among n engines by parallel callers.
func BenchmarkPick(b *testing.B) {
	prompt := []fleet.PromptPart{{ID: "a1", Tokens: 800}, {ID: "b2", Tokens: 5500}, {ID: "c3", Tokens: 2890}}
	for _, n := range []int{9, 50, 180, 5600} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("upstreams=%d/callers=%d", n, callers), func(b *testing.B) {
				p := benchPool(n)
				b.SetParallelism(callers)
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for i := 0; pb.Next(); i++ {
						q := engineQuery(fmt.Sprint("model-", i*7919%(3*n)), "")
						q.Prompt, q.TokensIn = prompt, 9190
						if c, _ := p.Pick(q); c == nil {
							b.Error("no engine for a loaded model")
							return
						}
					}
				})
			})
		}
	}
}

// BenchmarkPickPlain measures one choice among n upstreams without models.
func BenchmarkPickPlain(b *testing.B) {
	for _, n := range []int{9, 50, 180, 5600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			v := testView(n, max(1, n/2))
			for _, u := range v.Upstreams {
				u.Service, u.Holdings = "p", nil
			}
			p := newPool(v)
			q := &Query{Service: "p", Tried: make(map[string]bool)}
			b.ResetTimer()
			for b.Loop() {
				if c, _ := p.Pick(q); c == nil {
					b.Fatal("no upstream")
				}
			}
		})
	}
}
