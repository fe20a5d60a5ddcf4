package duty

import "time"

// Bounds are the platform's bounds on duties.
type Bounds struct {
	// Lease is within which time two holders must not take turns.
	Lease time.Duration
	// Window is the length of a window of usage reports, and Late how long after its end its report
	// is due.
	Window, Late time.Duration
	// CallsPerSecond bounds the calls of all instances together; 0 is no bound.
	CallsPerSecond float64
}

// Shares of the lease. A holder sends nothing later than maxVerifiedAge after it verified its claim,
// and no call takes longer than CallTimeout, so that none of its calls arrives later than two thirds
// of the lease after the claim of the next holder, which waits for a whole lease.
const (
	verifiedShare = 3
	timeoutShare  = 3
)

// maxVerified is the longest age of a verified claim, whatever the lease is.
const maxVerified = time.Second

// maxVerifiedAge is how long ago a holder that makes a call may have verified its claim.
func (b Bounds) maxVerifiedAge() time.Duration { return min(maxVerified, b.Lease/verifiedShare) }

// CallTimeout is how long a call may take.
func (b Bounds) CallTimeout() time.Duration { return b.Lease / timeoutShare }

// callInterval is the least time between the starts of two calls.
func (b Bounds) callInterval() time.Duration {
	if b.CallsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / b.CallsPerSecond)
}
