package operator

import (
	"fmt"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// BenchmarkPublish measures the publication of one changed entry in a document
// of the target scale: 190 models, 13,000 adapters and 1,000 keys.
func BenchmarkPublish(b *testing.B) {
	doc := config.Document{
		Teams:    map[string]config.Team{"t": {RateTokensPerS: 2, BurstTokens: 2}},
		Pools:    map[string]config.Pool{"p": {Kind: config.PoolEngine, MemoryMiB: 80_000}},
		Keys:     make(map[string]config.Key),
		Models:   make(map[string]config.Model),
		Adapters: make(map[string]config.Adapter),
	}
	for i := range 1000 {
		doc.Keys[fmt.Sprintf("key-%d", i)] = config.Key{Team: "t", SHA256: config.HashSecret(fmt.Sprint(i))}
	}
	for i := range 190 {
		doc.Models[fmt.Sprintf("model-%d", i)] = config.Model{Pool: "p", MemoryMiB: 60_000, MaxReplicas: 4}
	}
	for i := range 13_000 {
		doc.Adapters[fmt.Sprintf("adapter-%d", i)] = config.Adapter{Model: fmt.Sprintf("model-%d", i%190), MemoryMiB: 100}
	}
	client := NewStreamClient(standin.NewLog(), ClientSettings{})
	p := NewPublisher(client, client)
	got, err := p.Publish(b.Context(), 0, config.Diff(config.Document{}, doc), "", "ann")
	b.ReportAllocs()
	for b.Loop() && err == nil {
		key, _ := putChange("keys", "key-1", config.Key{Team: "t", SHA256: config.HashSecret(fmt.Sprint("version ", got.Version))})
		got, err = p.Publish(b.Context(), got.Version, []record.EntryChange{key}, "", "ann")
	}
	if err != nil {
		b.Fatal(err)
	}
}
