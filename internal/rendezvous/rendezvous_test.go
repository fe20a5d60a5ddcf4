package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestFirst guards against nodes that get far more keys than others, and against
// a new node that takes over more than its part of the keys.
func TestFirst(t *testing.T) {
	check := is.New(t)
	var nodes []string
	for i := range 20 {
		nodes = append(nodes, fmt.Sprint("entry-", i))
	}
	count := make(map[string]int)
	moved := 0
	const keys, n = 1000, 4
	for i := range keys {
		key := fmt.Sprint("team-", i)
		first := First(key, nodes, n)
		check.Equal(len(first), n)
		for _, node := range first {
			count[node]++
		}
		for _, node := range First(key, append([]string{"entry-new"}, nodes...), n) {
			if node == "entry-new" {
				moved++
			}
		}
	}
	for _, node := range nodes {
		check.True(count[node] > keys*n/20/2 && count[node] < keys*n/20*2)
	}
	check.True(moved < keys*n/21*2)
	check.Equal(len(First("x", nodes[:2], n)), 2)
}
