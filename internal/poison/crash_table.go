package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// quarantineCrashes is the number of crashes after which a request is refused.
const quarantineCrashes = fold.QuarantineCrashes

// noticeLimit bounds the digests known by notice only. A crash involves at most
// the requests in flight at one upstream, and the log takes over when it is back.
const noticeLimit = 4096

// noticeFor is how long a notice counts without a record. A reporter repeats it
// every few seconds while the log is out; one that is not repeated must not
// outlive a withdrawal that its receiver never learns of.
const noticeFor = time.Minute

// CrashTable merges the suspects of the view with those told by peers, so that a
// crash counts before the log has it and once altogether. It is safe for
// concurrent use.
type CrashTable struct {
	views ViewSource

	mu      sync.Mutex
	notices *simplelru.LRU[Digest, map[string]time.Time]
	// cleared holds crash ids that a completed run has withdrawn at this instance.
	cleared *simplelru.LRU[string, bool]
}

// NewCrashTable returns the crash knowledge of one instance.
func NewCrashTable(views ViewSource) (*CrashTable, error) {
	notices, err := simplelru.NewLRU[Digest, map[string]time.Time](noticeLimit, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create the table of notices")
	}
	cleared, err := simplelru.NewLRU[string, bool](noticeLimit, nil)
	return &CrashTable{views: views, notices: notices, cleared: cleared}, errors.Wrap(err, "create the table of cleared crashes")
}

// ApplyNotice takes a notice from a peer or of the own upstream.
func (k *CrashTable) ApplyNotice(n CrashNotice) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range n.Digests {
		if k.cleared.Contains(clearKey(Digest(d), n.CrashID)) {
			continue
		}
		ids, ok := k.notices.Get(Digest(d))
		if n.Withdrawn {
			delete(ids, n.CrashID)
			continue
		}
		if !ok {
			ids = make(map[string]time.Time)
		}
		ids[n.CrashID] = time.Now()
		k.notices.Add(Digest(d), ids)
	}
}

// Crashes returns the number of distinct crashes of a digest, by the view and by
// notices together.
func (k *CrashTable) Crashes(d Digest) int {
	s, _ := k.views.View().Suspects.Get(string(d))
	if s.Quarantined() {
		return quarantineCrashes
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	ids, _ := k.notices.Peek(d)
	count := len(s.CrashIDs)
	for _, id := range s.CrashIDs {
		if k.cleared.Contains(clearKey(d, id)) {
			count--
		}
	}
	for id, told := range ids {
		if time.Since(told) < noticeFor && !slices.Contains(s.CrashIDs, id) {
			count++
		}
	}
	return count
}

// Clear withdraws the crashes that this instance knows of a digest, after a
// completed run. Quarantined digests stay refused.
func (k *CrashTable) Clear(d Digest) {
	s, _ := k.views.View().Suspects.Get(string(d))
	k.mu.Lock()
	defer k.mu.Unlock()
	ids, _ := k.notices.Peek(d)
	for id := range ids {
		k.cleared.Add(clearKey(d, id), true)
	}
	k.notices.Remove(d)
	for _, id := range s.CrashIDs {
		k.cleared.Add(clearKey(d, id), true)
	}
}

// InView reports whether the view counts the crash for the digest, or refuses
// the digest anyway.
func (k *CrashTable) InView(d Digest, crashID string) bool {
	s, _ := k.views.View().Suspects.Get(string(d))
	return s.Quarantined() || slices.Contains(s.CrashIDs, crashID)
}

// Check refuses a quarantined request at an entry instance.
func (k *CrashTable) Check(d Digest) error {
	if k.Crashes(d) >= quarantineCrashes {
		return errQuarantined()
	}
	return nil
}

func clearKey(d Digest, crashID string) string { return string(d) + "\x00" + crashID }
