package routing

// CacheEvent reports that an upstream cached or evicted a prompt prefix. Events
// can arrive late or get lost.
type CacheEvent struct {
	Upstream string `json:"upstream"`
	// Seq is the sequence number of the event at its upstream, from 1. A gap
	// means that events were lost.
	Seq uint64 `json:"seq"`
	// Prefix is the hash of the prompt up to a block boundary.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}
