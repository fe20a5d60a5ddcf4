package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// lingerFor is how long a request that ended without a whole answer is
// suspected of a later crash; an engine cancels such a request within seconds.
const lingerFor = 5 * time.Second

// lingerLimit bounds the lingering digests; it exceeds the requests that one
// upstream runs at once.
const lingerLimit = 4096

// Tracker knows the requests that run at one agent's upstream. It is safe for
// concurrent use.
type Tracker struct {
	self  record.HomeRef
	known *CrashTable
	hooks *hooks

	mu sync.Mutex
	// running counts the copies of each digest at the upstream.
	running map[Digest]int
	// suspect is the digest that runs alone among suspects, with its copies.
	suspect Digest
	// lingering are the digests that ended without a whole answer, by time.
	lingering map[Digest]time.Time
	// frozen is true between the loss of the connection and the verdict on it.
	frozen bool
}

// NewTracker returns the tracker of the agent incarnation self.
func NewTracker(self record.HomeRef, known *CrashTable) *Tracker {
	return &Tracker{self: self, known: known, hooks: &hooks{}, running: make(map[Digest]int), lingering: make(map[Digest]time.Time)}
}

// Start admits a request to the upstream. Errors, all not run:
// request_quarantined; upstream_busy when another suspect runs, the same
// suspect runs already, or the upstream may have crashed. After nil the caller
// calls End exactly once.
func (t *Tracker) Start(d Digest) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := t.known.Crashes(d)
	if t.hooks.noRefusal {
		crashes = 0
	}
	switch {
	case crashes >= quarantineCrashes:
		return errQuarantined()
	case t.frozen:
		return errkind.New(errkind.UpstreamBusy, "the upstream's connection was lost")
	case crashes > 0 && t.suspect != "":
		return errkind.New(errkind.UpstreamBusy, "another suspect request runs at this upstream")
	case crashes > 0:
		t.suspect = d
	}
	t.running[d]++
	return nil
}

// End removes a request that ended. completed is true when the upstream
// answered it in full; then cleared reports that it was a suspect and its
// clearing must be recorded. A request that ended otherwise lingers, because it
// may end before the lost connection is judged.
func (t *Tracker) End(d Digest, completed bool) (cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !completed {
		t.linger(d)
	}
	if t.running[d] > 0 && !t.frozen {
		t.remove(d)
	}
	return completed && t.known.Crashes(d) > 0
}

// linger keeps the map near the number of requests that fail within lingerFor.
func (t *Tracker) linger(d Digest) {
	if len(t.lingering) >= lingerLimit {
		maps.DeleteFunc(t.lingering, func(_ Digest, since time.Time) bool { return time.Since(since) >= lingerFor })
	}
	if len(t.lingering) < lingerLimit {
		t.lingering[d] = time.Now()
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

// freeze keeps the set of running requests until the verdict on a lost
// connection, because the failed requests end before the boot id is known.
func (t *Tracker) freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozen = true
}

// suspects returns the digests that may have caused a crash: the frozen ones
// and those that lost their connection shortly before.
func (t *Tracker) suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for d := range t.running {
		out = append(out, string(d))
	}
	for d, since := range t.lingering {
		if t.running[d] == 0 && time.Since(since) < lingerFor {
			out = append(out, string(d))
		}
	}
	slices.Sort(out)
	return out
}

// thaw admits requests again. After a lost connection none of the frozen ones
// has a way to end here; those of an upstream that lives may go on there.
func (t *Tracker) thaw(crashed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.lingering, func(_ Digest, since time.Time) bool { return crashed || time.Since(since) >= lingerFor })
	for d := range t.running {
		if !crashed {
			t.linger(d)
		}
	}
	t.running = make(map[Digest]int)
	t.suspect = ""
	t.frozen = false
}

func errQuarantined() error {
	return errkind.New(errkind.RequestQuarantined, "the request crashed two upstreams")
}
