package atmostonce

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// CallID identifies a call that runs at most once.
type CallID struct {
	Team string `json:"team"`
	// Key is the caller's Idempotency-Key in canonical form.
	Key string `json:"key"`
}

// Partition returns the partition of the call among count partitions.
func (i CallID) Partition(count int) int {
	h := xxhash.New()
	// The zero byte distinguishes ("ab", "c") from ("a", "bc").
	_, _ = h.WriteString(i.Team)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(i.Key)
	return int(h.Sum64() % uint64(count))
}

// Stream returns the name of the log stream of a partition.
func Stream(partition int) string { return fmt.Sprintf("once-%02d", partition) }
