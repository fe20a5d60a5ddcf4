package freshness

import (
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// Quorum names the peers whose answers are required to confirm an outage.
type Quorum struct {
	// DataCentres are the other data centres that have live members and are not
	// configured as out.
	// At least one reader of each must have answered.
	DataCentres []string
	// Readers are the other readers of the instance's own data centre. If
	// DataCentres is empty, all of them must have answered.
	Readers []string
	// Offset is the highest offset that the instance itself has applied.
	Offset backing.Offset
}

// OutageDetector collects the answers of peers and confirms an outage of the log.
type OutageDetector struct {
	mu sync.Mutex
	// answers holds the newest answer of each instance.
	answers map[string]PeerStatus
	anyPeer bool
}

// NewOutageDetector returns a detector without answers.
func NewOutageDetector() *OutageDetector {
	return &OutageDetector{answers: make(map[string]PeerStatus)}
}

// TrustAnyPeer makes a single answer from any peer confirm an outage. It exists
// for negative controls: an isolated rack would then confirm an outage that only
// it sees.
func (d *OutageDetector) TrustAnyPeer() { d.anyPeer = true }

// Record records an answer and replaces an older one of the same instance.
func (d *OutageDetector) Record(s PeerStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.answers[s.Instance]; ok && old.Sent > s.Sent {
		return
	}
	d.answers[s.Instance] = s
}

// Confirm reports whether the log is down for the whole fleet, and returns the
// latest time for which the answers show that. This is the time of the oldest answer
// in the quorum rather than now, because a reader that answered and was then cut off
// may have seen the log recover since.
func (d *OutageDetector) Confirm(now MonoTime, quorum Quorum) (MonoTime, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired(now)
	newest := make(map[string]MonoTime)
	for _, s := range d.answers {
		if s.logMayBeUp() || s.Offset > quorum.Offset {
			return 0, false
		}
		if s.Reader {
			newest[s.DataCentre] = max(newest[s.DataCentre], s.Sent)
		}
	}
	if d.anyPeer {
		return now, len(newest) > 0
	}
	if len(quorum.DataCentres) == 0 {
		return d.confirmSingleDC(now, quorum.Readers)
	}
	oldest := now
	for _, dc := range quorum.DataCentres {
		sent, ok := newest[dc]
		if !ok {
			return 0, false
		}
		oldest = min(oldest, sent)
	}
	return oldest, true
}

// confirmSingleDC confirms an outage in a fleet with one data centre. All readers
// must have answered, or an isolated rack could confirm an outage that only it
// sees.
func (d *OutageDetector) confirmSingleDC(now MonoTime, readers []string) (MonoTime, bool) {
	oldest := now
	for _, instance := range readers {
		s, ok := d.answers[instance]
		if !ok {
			return 0, false
		}
		oldest = min(oldest, s.Sent)
	}
	return oldest, true
}

// dropExpired drops answers older than ViewBound.
func (d *OutageDetector) dropExpired(now MonoTime) {
	for instance, s := range d.answers {
		if s.Sent.AgeAt(now) > ViewBound {
			delete(d.answers, instance)
		}
	}
}
