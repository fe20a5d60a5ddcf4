package controlstate_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// scale is the number of checkpoints and members of a view.
type scale struct{ checkpoints, members int }

var scales = []scale{{200, 100}, {2000, 1000}, {13190, 7200}}

func (s scale) String() string {
	return fmt.Sprintf("%dcheckpoints-%dmembers", s.checkpoints, s.members)
}

// buildView returns a view with at most 190 models, the other checkpoints being
// adapters. Each checkpoint has two homes. Seven of nine members are agents, the
// others entry instances. The larger scales also fill the set of recent ids.
func buildView(s scale) *controlstate.View {
	v := controlstate.Empty()
	add := func(body record.Body) {
		data, _ := json.Marshal(body)
		v, _ = v.Apply(v.Offset+1, record.Envelope{ID: uuid.NewString(), Kind: body.Kind(), Body: data})
	}
	put := func(section record.Section, id, value string) {
		add(record.ConfigChange{Base: v.ConfigVersion, Changes: []record.EntryChange{{Section: section, ID: id, Value: json.RawMessage(value)}}})
	}
	put(record.SectionPools, "p", `{"kind":"engine","memory_mib":80000}`)
	for i := range s.members {
		role := record.RoleAgent
		if i%9 > 6 {
			role = record.RoleEntry
		}
		add(record.MemberJoin{Instance: instance(i), Incarnation: uuid.NewString(), Role: role, DataCentre: fmt.Sprint("dc", i%5), PeerAddr: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250), Pool: "p"})
	}
	models := min(190, s.checkpoints/2)
	for i := range s.checkpoints {
		checkpoint := fmt.Sprintf("model-%03d", i%models)
		if i < models {
			put(record.SectionModels, checkpoint, `{"pool":"p","version":"2026-11","memory_mib":14000,"max_replicas":8}`)
		} else {
			put(record.SectionAdapters, fmt.Sprintf("adapter-%05d", i), fmt.Sprintf(`{"model":%q,"version":"3","memory_mib":60,"max_replicas":4}`, checkpoint))
			checkpoint = fmt.Sprintf("%s:adapter-%05d", checkpoint, i)
		}
		add(record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: checkpoint, Homes: []record.InstanceRef{home(v, i), home(v, i+9)}}}})
	}
	return v
}

func instance(i int) string { return fmt.Sprintf("i-%08d", i) }

// home returns member i, or the last agent before it if member i is an entry
// instance.
func home(v *controlstate.View, i int) record.InstanceRef {
	i %= v.Members.Len()
	m, _ := v.Members.Get(instance(i - max(0, i%9-6)))
	return m.Ref()
}

// BenchmarkViewMemory reports the heap size of one view.
func BenchmarkViewMemory(b *testing.B) {
	for _, s := range scales {
		b.Run(s.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := buildView(s)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				runtime.KeepAlive(v)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB/view")
		})
	}
}

// BenchmarkApply reports the cost of decoding and applying one record.
func BenchmarkApply(b *testing.B) {
	for _, s := range scales {
		v := buildView(s)
		homes, _ := v.Homes.Get("model-000")
		for _, body := range []record.Body{
			record.ConfigChange{Base: v.ConfigVersion, Changes: []record.EntryChange{{Section: record.SectionTeams, ID: "t", Value: json.RawMessage(`{"rate_tokens_per_s":1,"burst_tokens":9}`)}}},
			record.MemberJoin{Instance: instance(3), Incarnation: "new", Role: record.RoleAgent, DataCentre: "dc1"},
			record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: "model-000", Base: homes.Offset, Homes: homes.Active[:1]}}},
			record.PoisonCrash{CrashID: "c", Digests: []string{"d"}},
		} {
			e, _ := record.New("bench", 0, body)
			data, _ := e.Encode()
			b.Run(s.String()+"/"+string(body.Kind()), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _, result := v.ApplyRecord(backing.Record{Offset: v.Offset + 1, Data: data})
					if !result.Applied {
						b.Fatal(result.Reason)
					}
				}
			})
		}
	}
}

// BenchmarkSnapshot reports the size of a snapshot and the time to encode and
// to decode it.
func BenchmarkSnapshot(b *testing.B) {
	for _, s := range scales {
		v := buildView(s)
		chunks, err := v.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		compressedBytes := 0
		for _, c := range chunks {
			compressedBytes += len(c.Data)
		}
		b.Run(s.String()+"/encode", func(b *testing.B) {
			for b.Loop() {
				_, _ = v.Snapshot()
			}
			b.ReportMetric(float64(compressedBytes)/1024, "KiB")
			b.ReportMetric(float64(len(chunks)), "chunks")
		})
		b.Run(s.String()+"/decode", func(b *testing.B) {
			for b.Loop() {
				if _, err := controlstate.Restore(chunks); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
