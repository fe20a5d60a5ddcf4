package budget

import (
	"sync"
	"time"
)

// ownedShare is the state that the owner of a share keeps. It is in memory only:
// the next owner starts with an empty bucket.
type ownedShare struct {
	mu sync.Mutex
	// since is the ShareOwner.Since for which the bucket was made.
	since  time.Time
	bucket bucket
	// grants has the recent grants, to answer repeated requests and to accept
	// returns.
	grants    map[grantKey]issuedGrant
	lastSweep time.Time
	// spent is the sum of what holders reported as spent, for metrics.
	spent float64
	// lostAt is when Sweep first saw that the share has another owner. Guarded by
	// Owner.mu.
	lostAt time.Time
}

type grantKey struct {
	holder string
	id     uint64
}

type issuedGrant struct {
	tokens float64
	// returnable is the number of tokens that the holder may still return. A
	// grant accepts one return.
	returnable float64
	at         time.Time
}

// startOwnership resets to an empty bucket if a new period of ownership has begun
// since the last call. The bucket fills from the end of the takeover wait.
func (s *ownedShare) startOwnership(p bucketParams) {
	if s.grants != nil && s.since.Equal(p.since) {
		return
	}
	s.since = p.since
	s.bucket = newBucket(p.start)
	s.bucket.configure(p.rate, p.size)
	s.grants = make(map[grantKey]issuedGrant)
}

// applyReturns puts returned tokens back into the bucket. It ignores returns for
// unknown grants.
func (s *ownedShare) applyReturns(holder string, returns []Return) {
	for _, r := range returns {
		key := grantKey{holder, r.ID}
		g, ok := s.grants[key]
		if !ok || r.Tokens <= 0 {
			continue
		}
		tokens := min(r.Tokens, g.returnable)
		g.returnable = 0
		s.grants[key] = g
		s.bucket.putBack(tokens)
	}
}

// issue grants tokens. A repeated holder and id gets the first grant again.
func (s *ownedShare) issue(req *GrantRequest, now time.Time) float64 {
	key := grantKey{req.Holder, req.ID}
	if g, ok := s.grants[key]; ok {
		return g.tokens
	}
	tokens := s.bucket.take(req.Want, req.Min)
	if tokens > 0 {
		s.grants[key] = issuedGrant{tokens, tokens, now}
	}
	s.spent += req.Spent
	return tokens
}

// sweep removes grants older than keep. It does so at most once per keep.
func (s *ownedShare) sweep(now time.Time, keep time.Duration) {
	if now.Sub(s.lastSweep) < keep {
		return
	}
	s.lastSweep = now
	for key, g := range s.grants {
		if now.Sub(g.at) > keep {
			delete(s.grants, key)
		}
	}
}
