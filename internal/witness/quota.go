package witness

import "time"

// Quarter is the length of the periods by which a Quota sums amounts.
const Quarter = 250 * time.Millisecond

// Quota is what an instance has spent of its shares, as the quota section of a Record.
type Quota struct {
	// Allotment is a digest of what the shares follow from: the entry instances, and the rates and
	// bursts of all teams. A team that Teams does not list had spent nothing if a start computes the
	// same digest, and may have been another instance's otherwise.
	Allotment uint64 `json:"allotment"`
	// Teams has the teams that had spent something.
	Teams map[string]TeamQuota `json:"teams,omitempty"`
}

// TeamQuota is what an instance has spent of a team's share.
type TeamQuota struct {
	// Spent are the tokens spent or lent, newest first: those that a borrower may spend up to one
	// Quarter after the record was made, then those of the last Quarter before it, and so on.
	Spent []float64 `json:"spent,omitempty"`
	// Ahead are tokens that were asked for and may have been spent after the record was made.
	Ahead float64 `json:"ahead,omitempty"`
	// Listed tells that the newest checkpoint in the store lists the team.
	Listed bool `json:"listed,omitempty"`
}

// Index returns the place in TeamQuota.Spent of an amount that was spent a time before the record
// was made. The time is negative for a loan that has not expired.
func Index(before time.Duration) int {
	if before < 0 {
		return 0
	}
	return 1 + int(before/Quarter)
}

// SpentBefore returns the time before the record was made at which the amount at an index of
// TeamQuota.Spent was spent at the latest.
func SpentBefore(index int) time.Duration { return time.Duration(index-1) * Quarter }

// Valid reports whether an instance can have written q.
func (q Quota) Valid() bool {
	const maxPeriods = 1 << 12
	for _, team := range q.Teams {
		if len(team.Spent) > maxPeriods || team.Ahead < 0 {
			return false
		}
		for _, tokens := range team.Spent {
			if tokens < 0 {
				return false
			}
		}
	}
	return true
}
