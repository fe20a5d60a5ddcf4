package quarantine

import (
	"sync"
	"time"
)

const (
	// unansweredTTL is how long after a request was given up the end of its upstream may be its
	// doing. An upstream may go on with a request whose connection has closed.
	unansweredTTL = 5 * time.Second
	// maxUnanswered bounds the requests kept for one upstream, and maxUnansweredUpstreams the
	// upstreams: an outage in which all requests are given up needs no more.
	maxUnanswered          = 64
	maxUnansweredUpstreams = 1024
)

// Unanswered keeps the requests that were sent to an upstream and given up before it answered: after
// a stall, at their deadline, or because the caller left. If the upstream crashes soon after, they are
// among the suspects. It is safe for concurrent use.
type Unanswered struct {
	mu         sync.Mutex
	byUpstream map[string][]unansweredRequest
}

// unansweredRequest is a request that was given up.
type unansweredRequest struct {
	suspect Suspect
	at      time.Time
}

// Add records that a request with these suspects was given up at an upstream, and reports whether it is
// the first one there lately. Only its digest is kept: parts of its prompt also occur in requests that
// the upstream went on to answer.
func (u *Unanswered) Add(upstreamID string, suspects []Suspect) (first bool) {
	if len(suspects) == 0 {
		return false
	}
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byUpstream == nil {
		u.byUpstream = make(map[string][]unansweredRequest)
	}
	requests := unexpired(u.byUpstream[upstreamID], now)
	if len(requests) == 0 && len(u.byUpstream) >= maxUnansweredUpstreams {
		u.dropExpired(now)
	}
	if len(requests) >= maxUnanswered || len(u.byUpstream) >= maxUnansweredUpstreams {
		return false
	}
	u.byUpstream[upstreamID] = append(requests, unansweredRequest{suspects[len(suspects)-1], now})
	return len(requests) == 0
}

// Take returns the suspects of the requests that were given up at an upstream lately, and forgets them.
func (u *Unanswered) Take(upstreamID string) []Suspect {
	u.mu.Lock()
	defer u.mu.Unlock()
	requests := unexpired(u.byUpstream[upstreamID], time.Now())
	delete(u.byUpstream, upstreamID)
	out := make([]Suspect, 0, len(requests))
	for _, r := range requests {
		out = append(out, r.suspect)
	}
	return out
}

// Upstreams returns the ids of the upstreams at which requests were given up lately.
func (u *Unanswered) Upstreams() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dropExpired(time.Now())
	out := make([]string, 0, len(u.byUpstream))
	for id := range u.byUpstream {
		out = append(out, id)
	}
	return out
}

func (u *Unanswered) dropExpired(now time.Time) {
	for id, requests := range u.byUpstream {
		if requests = unexpired(requests, now); len(requests) == 0 {
			delete(u.byUpstream, id)
		} else {
			u.byUpstream[id] = requests
		}
	}
}

// unexpired returns the requests that are not older than unansweredTTL. They are in the order in which
// they were given up.
func unexpired(requests []unansweredRequest, now time.Time) []unansweredRequest {
	for i, r := range requests {
		if now.Sub(r.at) <= unansweredTTL {
			return requests[i:]
		}
	}
	return nil
}
