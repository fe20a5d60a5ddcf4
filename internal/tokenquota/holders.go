package tokenquota

import "github.com/jacinthbend/jacinthbend/internal/rendezvous"

// Number of holders of a team's allowance. If every instance of a large fleet
// held a share, the shares would be hardly larger than a single request: every
// request would borrow, and every share would be above checkpointThreshold.
const (
	// minHolders bounds what a team loses with one holder: a quarter of its
	// allowance until the holder is back.
	minHolders = 4
	// instancesPerHolder bounds the calls to one holder, which serves the
	// requests of that many instances. Each holder of a busy team writes checkpoints
	// in proportion to the spent part of its share, so more holders cost more calls to
	// the store.
	instancesPerHolder = 24
)

// holders returns the instances that have equal shares of a team's allowance.
func holders(team string, instances []string) []string {
	n := max(minHolders, (len(instances)+instancesPerHolder-1)/instancesPerHolder)
	return rendezvous.First(team, instances, n)
}
