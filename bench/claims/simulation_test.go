package claims

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEveryItemIsClaimedOnce checks that every policy claims every item, as one that
// leaves items unclaimed would have fewer voided appends. With equal views, rendezvous
// picking must void no append.
func TestEveryItemIsClaimedOnce(t *testing.T) {
	for _, policy := range Policies() {
		for _, claimants := range []int{1, 2, 40, 200} {
			is := is.New(t)
			setting := Setting{
				Policy: policy, Claimants: claimants, Items: 64, AppendsPerS: 300, Latency: 5 * time.Millisecond,
				WakeWithin: time.Second, StaleShare: 0.3, ChangedShare: 0.1, ViewBound: 3 * time.Second, Seed: 1,
			}
			is.Equal(Run(setting).Useful, 64)
			is.Equal(Run(setting), Run(setting)) // The same seed gives the same run.
			setting.StaleShare = 0
			is.True(policy != Rendezvous || Run(setting).Voided == 0)
		}
	}
}
