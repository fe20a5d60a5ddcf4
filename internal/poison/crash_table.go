package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// quarantineCrashes is the number of crashes after which a request is refused.
const quarantineCrashes = controlstate.QuarantineCrashes

// maxNotices bounds the digests with notices, and separately the cleared crashes.
// One crash involves at most the requests in flight at one upstream, and once the
// log is available again the records replace the notices.
const maxNotices = 4096

// noticeTTL is how long a notice counts without a record. While the log is
// unavailable, reporters repeat their notices every few seconds. A notice that is
// not repeated must expire, because its receiver may miss the withdrawal.
const noticeTTL = time.Minute

// CrashTable counts the crashes of each digest. It merges the view's crash
// records with notices from peers, so a crash counts before its record is in the
// log, and only once when both arrive. It is safe for concurrent use.
type CrashTable struct {
	views ViewSource

	mu      sync.Mutex
	notices *simplelru.LRU[Digest, map[string]time.Time]
	// cleared holds the crashes that no longer count for a digest at this
	// instance, because the request has completed since; keyed by clearedKey.
	cleared *simplelru.LRU[string, bool]
}

// NewCrashTable returns an empty table of crashes on top of the records in views.
func NewCrashTable(views ViewSource) (*CrashTable, error) {
	notices, err := simplelru.NewLRU[Digest, map[string]time.Time](maxNotices, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create the cache of crash notices")
	}
	cleared, err := simplelru.NewLRU[string, bool](maxNotices, nil)
	return &CrashTable{views: views, notices: notices, cleared: cleared}, errors.Wrap(err, "create the cache of cleared crashes")
}

// ApplyNotice adds a notice, or removes it if it is withdrawn. The notice comes
// from a peer or from this instance.
func (t *CrashTable) ApplyNotice(n CrashNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range n.Digests {
		if t.cleared.Contains(clearedKey(Digest(d), n.CrashID)) {
			continue
		}
		ids, ok := t.notices.Get(Digest(d))
		if n.Withdrawn {
			delete(ids, n.CrashID)
			continue
		}
		if !ok {
			ids = make(map[string]time.Time)
		}
		ids[n.CrashID] = time.Now()
		t.notices.Add(Digest(d), ids)
	}
}

// Crashes returns the number of distinct crashes of a digest in the view and in
// the notices together.
func (t *CrashTable) Crashes(d Digest) int {
	s, _ := t.views.View().Suspects.Get(string(d))
	if s.Quarantined() {
		return quarantineCrashes
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, _ := t.notices.Peek(d)
	count := len(s.CrashIDs)
	for _, id := range s.CrashIDs {
		if t.cleared.Contains(clearedKey(d, id)) {
			count--
		}
	}
	for id, noticedAt := range ids {
		if time.Since(noticedAt) < noticeTTL && !slices.Contains(s.CrashIDs, id) {
			count++
		}
	}
	return count
}

// Clear discards the crashes known for a digest after its request has completed.
// A digest that the view has quarantined stays refused.
func (t *CrashTable) Clear(d Digest) {
	s, _ := t.views.View().Suspects.Get(string(d))
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, _ := t.notices.Peek(d)
	for id := range ids {
		t.cleared.Add(clearedKey(d, id), true)
	}
	t.notices.Remove(d)
	for _, id := range s.CrashIDs {
		t.cleared.Add(clearedKey(d, id), true)
	}
}

// InView reports whether the view counts the crash for the digest, or has
// quarantined the digest.
func (t *CrashTable) InView(d Digest, crashID string) bool {
	s, _ := t.views.View().Suspects.Get(string(d))
	return s.Quarantined() || slices.Contains(s.CrashIDs, crashID)
}

// Check returns request_quarantined (not run) for a quarantined request.
func (t *CrashTable) Check(d Digest) error {
	if t.Crashes(d) >= quarantineCrashes {
		return errQuarantined()
	}
	return nil
}

func clearedKey(d Digest, crashID string) string { return string(d) + "\x00" + crashID }
