package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// recentFailureWindow is how long a request that ended without a complete
// response counts as a possible cause of a later crash. The upstream may still be
// running it, but cancels it within seconds.
const recentFailureWindow = 5 * time.Second

// maxRecentFailures bounds the recently failed digests. It is larger than the
// number of requests that one upstream runs at once.
const maxRecentFailures = 4096

// Tracker tracks the requests that run at one agent's upstream and decides which
// ones may start. It is safe for concurrent use.
type Tracker struct {
	self       record.InstanceRef
	crashTable *CrashTable
	hooks      *hooks

	mu sync.Mutex
	// running counts the running requests of each digest.
	running map[Digest]int
	// suspect is the digest of the one suspect that runs; empty when none does.
	suspect Digest
	// recentFailures maps digests that ended without a complete response to the
	// time they ended.
	recentFailures map[Digest]time.Time
	// frozen is true while a lost connection is being investigated. No request
	// starts and running does not change while it is set.
	frozen bool
}

// NewTracker returns the tracker of the agent incarnation self.
func NewTracker(self record.InstanceRef, crashTable *CrashTable) *Tracker {
	return &Tracker{self: self, crashTable: crashTable, hooks: &hooks{}, running: make(map[Digest]int), recentFailures: make(map[Digest]time.Time)}
}

// Start admits a request to the upstream. It returns request_quarantined for a
// quarantined request, and upstream_busy if the request is a suspect and a
// suspect is already running, or if the upstream may have crashed. All errors
// say that the request was not run. After a nil error the caller must call End
// exactly once.
func (t *Tracker) Start(d Digest) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := t.crashTable.Crashes(d)
	if t.hooks.noRefusal {
		crashes = 0
	}
	switch {
	case crashes >= quarantineCrashes:
		return errQuarantined()
	case t.frozen:
		return errkind.New(errkind.UpstreamBusy, "the connection to the upstream was lost")
	case crashes > 0 && t.suspect != "":
		return errkind.New(errkind.UpstreamBusy, "another request that is suspected of a crash is running at this upstream")
	case crashes > 0:
		t.suspect = d
	}
	t.running[d]++
	return nil
}

// End removes a request that has ended. completed is true when the upstream sent
// the complete response. The result is true if the request was a suspect and has
// completed; the caller must then append a record that clears it. A request that
// did not complete counts as a possible cause of a crash for recentFailureWindow,
// because it may end before ConnectionLost freezes the tracker.
func (t *Tracker) End(d Digest, completed bool) (cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !completed {
		t.addRecentFailure(d)
	}
	if t.running[d] > 0 && !t.frozen {
		t.remove(d)
	}
	return completed && t.crashTable.Crashes(d) > 0
}

// addRecentFailure records a failed digest. When the map is full it first removes
// expired entries, and drops the digest if there are none.
func (t *Tracker) addRecentFailure(d Digest) {
	if len(t.recentFailures) >= maxRecentFailures {
		maps.DeleteFunc(t.recentFailures, func(_ Digest, since time.Time) bool { return time.Since(since) >= recentFailureWindow })
	}
	if len(t.recentFailures) < maxRecentFailures {
		t.recentFailures[d] = time.Now()
	}
}

func (t *Tracker) remove(d Digest) {
	t.running[d]--
	if t.running[d] > 0 {
		return
	}
	delete(t.running, d)
	if t.suspect == d {
		t.suspect = ""
	}
}

// freeze stops admission and keeps the set of running requests while a lost
// connection is investigated, because the failed requests end before the boot id
// is known.
func (t *Tracker) freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozen = true
}

// suspects returns the digests that may have caused a crash: those that were
// running when the tracker was frozen and those that failed shortly before.
func (t *Tracker) suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for d := range t.running {
		out = append(out, string(d))
	}
	for d, since := range t.recentFailures {
		if t.running[d] == 0 && time.Since(since) < recentFailureWindow {
			out = append(out, string(d))
		}
	}
	slices.Sort(out)
	return out
}

// unfreeze admits requests again and forgets those that were running, because
// their connections are lost. If the upstream did not crash, it may still be
// running them, so they are kept as recent failures.
func (t *Tracker) unfreeze(crashed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.recentFailures, func(_ Digest, since time.Time) bool { return crashed || time.Since(since) >= recentFailureWindow })
	for d := range t.running {
		if !crashed {
			t.addRecentFailure(d)
		}
	}
	t.running = make(map[Digest]int)
	t.suspect = ""
	t.frozen = false
}

func errQuarantined() error {
	return errkind.New(errkind.RequestQuarantined, "the request crashed two upstreams")
}
