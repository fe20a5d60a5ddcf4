// Package rendezvous implements rendezvous hashing (also called highest random
// weight hashing), except that here the lowest hash wins. All processes compute the
// same order of nodes for a key without communicating.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the hash of a node for a key. The node with the lowest rank comes
// first.
func Rank(key, node string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("@" + node)
	return d.Sum64()
}

// First returns the n nodes with the lowest ranks for a key, or all nodes if there
// are fewer.
func First(key string, nodes []string, n int) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Rank(key, a), Rank(key, b)), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}
