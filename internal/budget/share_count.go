package budget

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// Limits that determine the number of a team's shares.
const (
	// maxShares spreads the load of a large team over many owners.
	maxShares = 16
	// minShares keeps most of a small team's budget available when one owner
	// fails. With a single share that failure would stop the whole team.
	minShares = 4
	// minShareTokens is the smallest capacity of a share, in tokens, if the team has
	// more than minShares shares. Most requests are smaller, so that one grant from
	// one share serves them.
	minShareTokens = 2048
)

// ShareCount returns the number of a team's shares: the largest power of two
// from minShares to maxShares that leaves each share at least minShareTokens, or
// minShares if there is none. Fewer shares make large requests cheaper; more
// shares lose a smaller part of the budget when an owner fails. The number
// depends only on the team's configuration and ttl, so that all instances agree.
func ShareCount(t config.Team, ttl time.Duration) int {
	n := minShares
	for n < maxShares && t.Capacity(ttl)/float64(2*n) >= minShareTokens {
		n *= 2
	}
	return n
}
