package duty_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/duty"
	"github.com/jacinthbend/jacinthbend/internal/usage"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// truth are the runs that began, by window and team.
type truth map[int64]map[string]int64

func (t truth) add(window int64, team string) {
	if t[window] == nil {
		t[window] = make(map[string]int64)
	}
	t[window][team]++
}

// sim is a fleet in virtual time.
type sim struct {
	t          *testing.T
	ctx        context.Context
	began      time.Time
	windows    usage.Windows
	bounds     duty.Bounds
	log        *fakeLog
	cloud      *platformtest.Cloud
	names      []string
	loseAnswer atomic.Bool
	// scale tells that orders of servers are a duty, too, and ordered is the last one taken.
	scale   bool
	ordered atomic.Int64
	// slow is how long a call to the platform takes in addition.
	slow   atomic.Int64
	logger *zap.Logger

	mu       sync.Mutex
	nodes    map[string]*node
	sections map[string]map[uint64]json.RawMessage
	truth    truth
	// at is the step at which fault is injected into the instance that makes it, once fromWindow
	// has begun.
	at         string
	fault      func(n *node)
	fromWindow int64
}

const tolerance = 0.05

// run runs a fleet for some time and then f, which checks it.
func run(t *testing.T, instances int, d time.Duration, prepare func(*sim), f func(*sim, *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &sim{
			t: t, ctx: ctx, began: time.Now(), windows: usage.Windows{Length: 5 * time.Second},
			bounds: duty.Bounds{Lease: 3 * time.Second, Window: 5 * time.Second, Late: 10 * time.Second, CallsPerSecond: 4},
			log:    &fakeLog{era: 1, claims: make(map[int64]time.Time)}, nodes: make(map[string]*node), sections: make(map[string]map[uint64]json.RawMessage), truth: make(truth), logger: zap.NewNop(),
		}
		s.cloud = platformtest.NewCloud(platformtest.CloudOptions{Lease: s.bounds.Lease, Thaw: 300 * time.Millisecond, CallsPerSecond: 4})
		for i := range instances {
			s.names = append(s.names, fmt.Sprintf("edge-%02d", i))
		}
		prepare(s)
		for _, name := range s.names {
			if s.node(name) == nil {
				s.startNode(name, true, 0)
			}
		}
		defer func() {
			cancel()
			for _, name := range s.names {
				s.node(name).killed.Store(true)
			}
			time.Sleep(time.Minute) // the goroutines end
		}()
		time.Sleep(d)
		f(s, is.New(t))
	})
}

func (s *sim) node(name string) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

func (s *sim) setSection(n *node, section []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sections[n.name] == nil {
		s.sections[n.name] = make(map[uint64]json.RawMessage)
	}
	s.sections[n.name][n.start] = section
}

func (s *sim) sectionsOf(names []string) map[string][]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]json.RawMessage)
	for _, name := range names {
		for _, section := range s.sections[name] {
			out[name] = append(out[name], section)
		}
	}
	return out
}

func (s *sim) ran(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truth.add(s.windows.At(time.Now()), team)
}

// step injects the fault if it is due.
func (s *sim) step(n *node, step string) {
	s.mu.Lock()
	fault := s.fault
	if fault == nil || step != s.at || s.windows.At(time.Now()) < s.fromWindow || n.killed.Load() {
		s.mu.Unlock()
		return
	}
	s.fault = nil
	s.mu.Unlock()
	fault(n)
}

// restart starts a killed instance again after some time.
func (s *sim) restart(n *node, after time.Duration) {
	n.killed.Store(true)
	s.after(after, func() { s.startNode(n.name, false, 0) })
}

func (s *sim) freeze(n *node, d time.Duration) {
	n.frozen.Store(true)
	s.after(d, func() {
		s.cloud.Resumed(n.name)
		n.frozen.Store(false)
	})
}

func (s *sim) cut(n *node, d time.Duration, links ...*atomic.Bool) {
	for _, l := range links {
		l.Store(true)
	}
	s.after(d, func() {
		s.cloud.Resumed(n.name)
		for _, l := range links {
			l.Store(false)
		}
	})
}

// cutHalf cuts half of the instances off from the others for some time. For simplicity they do not
// reach each other either.
func (s *sim) cutHalf(i int, n *node) {
	if i%2 == 0 {
		s.cut(n, 20*time.Second, &n.cutPeers)
	}
}

// after calls f after some time, unless the test has ended.
func (s *sim) after(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		if s.ctx.Err() == nil {
			f()
		}
	}()
}

// outage makes something unavailable for some time.
func (s *sim) outage(set func(down bool), d time.Duration) {
	set(true)
	s.after(d, func() { set(false) })
}

// check returns the windows that were not reported, or not in time, or not exactly. It leaves out those
// that are not due yet.
func (s *sim) check() (missed, late, wrong []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkLease()
	for w := s.windows.At(s.began); time.Since(s.windows.End(w)) > s.bounds.Late; w++ {
		report, ok := s.cloud.Report(w)
		switch {
		case !ok:
			missed = append(missed, w)
			continue
		case report.At.Sub(s.windows.End(w)) > s.bounds.Late:
			late = append(late, w)
		}
		for team, n := range s.truth[w] {
			if math.Abs(float64(report.Counts[team]-n)) > tolerance*float64(n) {
				wrong = append(wrong, w)
				break
			}
		}
	}
	return missed, late, wrong
}

// checkLease checks that no token was used within the lease after its claim, unless the claim before was
// of the same instance.
func (s *sim) checkLease() {
	for w := s.windows.At(s.began); time.Since(s.windows.Start(w)) > 0; w++ {
		report, ok := s.cloud.Report(w)
		if claimed := s.log.claims[report.Token]; ok && report.At.Before(claimed.Add(s.bounds.Lease)) {
			s.t.Errorf("window %d: %s acts %s after its claim", w, report.Holder, report.At.Sub(claimed))
		}
	}
}

// restore brings the log back from a copy, which all instances notice by and by from their other
// calls.
func (s *sim) restore(lost int) {
	s.log.restore(lost)
	for i, name := range s.names {
		s.after(time.Duration(i)*300*time.Millisecond, func() { s.node(name).SetEra(s.log.currentEra()) })
	}
}

// holder returns the instance that made the newest claim.
func (s *sim) holder() *node {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	var claim struct {
		Holder string `json:"holder"`
	}
	for _, it := range s.log.items {
		if it.Key == "usage" {
			_ = json.Unmarshal(it.Value, &claim)
		}
	}
	return s.node(claim.Holder)
}
