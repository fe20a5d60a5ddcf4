package usage

import (
	"context"
	"encoding/json"
)

// Peers are the entry instances.
type Peers interface {
	// Names returns all entry instances in the member list, the own one included.
	Names() []string
	// Usage asks another instance for its counts.
	Usage(ctx context.Context, name string, req Request) (Answer, error)
}

// Witnesses keep the counts of instances elsewhere, so that they survive the instance.
type Witnesses interface {
	// Sections returns the newest section of each known run of some instances, without the instances
	// that no witness knows.
	Sections(ctx context.Context, names []string) (map[string][]json.RawMessage, error)
}
