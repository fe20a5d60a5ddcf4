package budget

import "time"

// Charge is one change to the number of tokens that a team has spent.
type Charge struct {
	Team string
	// At is when the tokens were spent; all grants that were used were valid
	// then. A settlement repeats the time of the reservation that it corrects.
	At time.Time
	// Tokens is negative when unused tokens return to a valid grant.
	Tokens float64
}
