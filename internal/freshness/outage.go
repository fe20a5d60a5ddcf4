package freshness

import (
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// Quorum names whose word a confirmation of an outage requires.
type Quorum struct {
	// DataCentres are the others that are in and have live members; one reader
	// of each must have answered.
	DataCentres []string
	// Readers are the other readers of the own data centre. They must all have
	// answered where no other data centre exists.
	Readers []string
	// Offset is the highest offset that the asking instance has applied.
	Offset platform.Offset
}

// OutageDetector collects contacts and confirms an outage of the log.
type OutageDetector struct {
	mu       sync.Mutex
	contacts map[string]PeerStatus
	anyPeer  bool
}

// NewOutageDetector returns a judge without contacts.
func NewOutageDetector() *OutageDetector {
	return &OutageDetector{contacts: make(map[string]PeerStatus)}
}

// TrustAnyPeer makes one answer from any peer confirm an outage. It exists for
// negative controls: an isolated rack then confirms its own outage.
func (j *OutageDetector) TrustAnyPeer() { j.anyPeer = true }

// Record records an answer. An older answer of the same instance is replaced.
func (j *OutageDetector) Record(c PeerStatus) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if old, ok := j.contacts[c.Instance]; ok && old.Sent > c.Sent {
		return
	}
	j.contacts[c.Instance] = c
}

// Confirm returns the time at which the log was last known to be out for
// everyone, and whether it is. The time is that of the oldest answer needed,
// not of the confirmation: a reader that was heard and then cut off may have
// seen the log return since.
func (j *OutageDetector) Confirm(now MonoTime, need Quorum) (MonoTime, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forget(now)
	newest := make(map[string]MonoTime)
	for _, c := range j.contacts {
		if c.sawLog() || c.Offset > need.Offset {
			return 0, false
		}
		if c.Reader {
			newest[c.DataCentre] = max(newest[c.DataCentre], c.Sent)
		}
	}
	if j.anyPeer {
		return now, len(newest) > 0
	}
	if len(need.DataCentres) == 0 {
		return j.confirmAlone(now, need.Readers)
	}
	oldest := now
	for _, dc := range need.DataCentres {
		sent, ok := newest[dc]
		if !ok {
			return 0, false
		}
		oldest = min(oldest, sent)
	}
	return oldest, true
}

// confirmAlone judges a fleet of one data centre. A single silent reader
// prevents the confirmation, or an isolated rack would confirm its own outage.
func (j *OutageDetector) confirmAlone(now MonoTime, readers []string) (MonoTime, bool) {
	oldest := now
	for _, instance := range readers {
		c, ok := j.contacts[instance]
		if !ok {
			return 0, false
		}
		oldest = min(oldest, c.Sent)
	}
	return oldest, true
}

// forget drops answers older than ViewBound.
func (j *OutageDetector) forget(now MonoTime) {
	for instance, c := range j.contacts {
		if c.Sent.AgeAt(now) > ViewBound {
			delete(j.contacts, instance)
		}
	}
}
