// Package cowmap provides an immutable hash table with copy-on-write: a change copies
// one shard and returns a new table that shares the other shards.
package cowmap

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount bounds the cost of a change, which copies one shard. With 13,000
// entries, a shard holds about 50.
const shardCount = 256

// Table is an immutable map from strings to values; With and Without return a
// changed copy. All methods are safe for concurrent use. Use New or FromMap to
// create a table.
type Table[V any] struct {
	shards [shardCount]map[string]V
	size   int
}

// New returns an empty table.
func New[V any]() *Table[V] { return &Table[V]{} }

// FromMap returns a table with the entries of m.
func FromMap[V any](m map[string]V) *Table[V] {
	t := New[V]()
	for k, v := range m {
		i := shardOf(k)
		if t.shards[i] == nil {
			t.shards[i] = make(map[string]V)
		}
		t.shards[i][k] = v
	}
	t.size = len(m)
	return t
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// Get returns the value of key.
func (t *Table[V]) Get(key string) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]
	return v, ok
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return t.size }

// With returns a table that also maps key to v.
func (t *Table[V]) With(key string, v V) *Table[V] {
	next := *t
	i := shardOf(key)
	shard := make(map[string]V, len(t.shards[i])+1)
	maps.Copy(shard, t.shards[i])
	if _, ok := shard[key]; !ok {
		next.size++
	}
	shard[key] = v
	next.shards[i] = shard
	return &next
}

// Without returns a table without key.
func (t *Table[V]) Without(key string) *Table[V] {
	i := shardOf(key)
	if _, ok := t.shards[i][key]; !ok {
		return t
	}
	next := *t
	shard := maps.Clone(t.shards[i])
	delete(shard, key)
	next.shards[i] = shard
	next.size--
	return &next
}

// All iterates over the entries in no particular order.
func (t *Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, shard := range t.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Map returns the entries as a new map.
func (t *Table[V]) Map() map[string]V {
	out := make(map[string]V, t.size)
	for k, v := range t.All() {
		out[k] = v
	}
	return out
}
