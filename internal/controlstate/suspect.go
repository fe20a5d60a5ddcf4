package controlstate

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
)

// QuarantineCrashes is the number of upstream crashes after which a request is
// quarantined, that is, refused.
const QuarantineCrashes = 2

// MaxSuspects limits the number of suspects. Above it, the suspect with the
// oldest last crash is evicted. Quarantined suspects are evicted only when there
// are no others, so that a flood of suspects with one crash each cannot lift the
// quarantine of a poison request.
const MaxSuspects = 4096

// MaxCrashDigests limits the request digests in one crash report. Engines run far
// fewer requests concurrently.
const MaxCrashDigests = 1024

// Suspect is a request that was in flight at an upstream when it crashed.
type Suspect struct {
	// CrashIDs are the ids of the distinct crashes, at most QuarantineCrashes.
	CrashIDs []string `json:"crash_ids"`
	// Offset is the offset of the last record that added to CrashIDs.
	Offset backing.Offset `json:"offset"`
}

// Quarantined reports whether the request must be refused.
func (s Suspect) Quarantined() bool { return len(s.CrashIDs) >= QuarantineCrashes }

// evictedBefore reports whether s is evicted before other. The digest breaks
// ties, so that every instance evicts the same suspect.
func (s Suspect) evictedBefore(digest string, other Suspect, otherDigest string) bool {
	if s.Quarantined() != other.Quarantined() {
		return !s.Quarantined()
	}
	if s.Offset != other.Offset {
		return s.Offset < other.Offset
	}
	return digest < otherDigest
}

// evictSuspect removes the suspect that is first in the order of eviction.
func evictSuspect(t *cowmap.Table[Suspect]) *cowmap.Table[Suspect] {
	var first Suspect
	var firstDigest string
	found := false
	for digest, s := range t.All() {
		if !found || s.evictedBefore(digest, first, firstDigest) {
			first, firstDigest, found = s, digest, true
		}
	}
	return t.Without(firstDigest)
}
