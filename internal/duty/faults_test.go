package duty_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// injection is a fault that hits the holder at a step, or what it depends on.
type injection struct {
	name string
	make func(s *sim, n *node)
	// late and missed are how many windows may be late or missed, wrong how many may have wrong
	// counts. A late report is one that the log, the platform or all links to it prevent.
	late, missed, wrong int
}

// steps are the steps of the holder at which a fault is injected.
var steps = []string{"collect", "before append", "after append", "before send", "after send"}

var injections = []injection{
	{name: "kill", make: func(s *sim, n *node) { n.killed.Store(true) }},
	{name: "kill and restart", make: func(s *sim, n *node) { s.restart(n, 1500*time.Millisecond) }},
	{name: "kill and restart late", make: func(s *sim, n *node) { s.restart(n, 7*time.Second) }},
	{name: "short freeze", make: func(s *sim, n *node) { s.freeze(n, 1200*time.Millisecond) }},
	{name: "freeze of a lease", make: func(s *sim, n *node) { s.freeze(n, 3100*time.Millisecond) }},
	{name: "long freeze", make: func(s *sim, n *node) { s.freeze(n, 9*time.Second) }},
	{name: "freeze of many windows", make: func(s *sim, n *node) { s.freeze(n, 24*time.Second) }},
	{name: "cut from the log", make: func(s *sim, n *node) { s.cut(n, 15*time.Second, &n.cutLog) }},
	{name: "cut from the platform", make: func(s *sim, n *node) { s.cut(n, 15*time.Second, &n.cutCloud) }, late: 3},
	{name: "cut from the instances", make: func(s *sim, n *node) { s.cut(n, 15*time.Second, &n.cutPeers) }, wrong: 4},
	{name: "cut off", make: func(s *sim, n *node) { s.cut(n, 15*time.Second, &n.cutLog, &n.cutCloud, &n.cutPeers) }, wrong: 4},
	{name: "lost answer of the log", make: func(s *sim, n *node) { s.log.setNext("lost") }},
	{name: "late append", make: func(s *sim, n *node) { s.log.setNext("late") }},
	{name: "lost answer of the platform", make: func(s *sim, n *node) { s.loseAnswer.Store(true) }},
	{name: "log down", make: func(s *sim, n *node) { s.outage(s.log.setDown, 12*time.Second) }, late: 3},
	{name: "platform down", make: func(s *sim, n *node) { s.outage(s.cloud.SetDown, 12*time.Second) }, late: 3},
	{name: "log restored", make: func(s *sim, n *node) { s.restore(1) }, missed: 1},
	{name: "log restored without the claim", make: func(s *sim, n *node) { s.restore(100) }, missed: 1},
	{name: "log restored after an outage", make: func(s *sim, n *node) {
		s.outage(s.log.setDown, 6*time.Second)
		s.after(6*time.Second, func() { s.restore(2) })
	}, missed: 3},
	{name: "kill of the holder and the next", make: func(s *sim, n *node) {
		n.killed.Store(true)
		s.after(3*time.Second, func() { s.holder().killed.Store(true) })
	}, late: 1},
	{name: "kill during an outage of the log", make: func(s *sim, n *node) {
		s.outage(s.log.setDown, 6*time.Second)
		s.restart(n, 2*time.Second)
	}, late: 2},
	{name: "freeze with a late append", make: func(s *sim, n *node) {
		s.log.setNext("late")
		s.freeze(n, 9*time.Second)
	}},
	{name: "kill and restored log", make: func(s *sim, n *node) {
		n.killed.Store(true)
		s.after(500*time.Millisecond, func() { s.restore(2) })
	}, late: 1, missed: 2},
}

// TestFaults injects each fault at each step of the holder. It guards against calls that break the
// platform's rules, and against reports that are late, missing or wrong beyond what the fault
// explains.
func TestFaults(t *testing.T) {
	for _, f := range injections {
		for _, step := range steps {
			t.Run(f.name+" "+step, func(t *testing.T) {
				t.Parallel()
				run(t, 6, 85*time.Second, func(s *sim) {
					s.scale = true
					s.at, s.fault, s.fromWindow = step, func(n *node) { f.make(s, n) }, s.windows.At(s.began)+4
				}, func(s *sim, check *is.I) {
					check.True(s.fault == nil) // the step was made
					missed, late, wrong := s.check()
					t.Log("missed", missed, "late", late, "wrong", wrong, "first", s.windows.At(s.began), "calls to the log", s.log.callCount())
					check.Equal(s.cloud.Violations(), nil)
					check.Equal(int(s.ordered.Load()), wantedAt(s.windows.At(time.Now())-1)) // orders go on
					check.True(len(missed) <= f.missed)
					check.True(len(late) <= f.late)
					check.True(len(wrong) <= f.wrong)
				})
			})
		}
	}
}

// TestTakeover sweeps the length of faults around the time at which the next candidate takes over.
// It guards against calls of a holder that arrive after those of the next one, and against turns
// within the lease.
func TestTakeover(t *testing.T) {
	for name, fault := range map[string]func(s *sim, n *node, d time.Duration){
		"freeze": func(s *sim, n *node, d time.Duration) { s.freeze(n, d) },
		"cut":    func(s *sim, n *node, d time.Duration) { s.cut(n, d, &n.cutCloud, &n.cutPeers) },
		"slow platform, cut": func(s *sim, n *node, d time.Duration) {
			s.slow.Store(int64(900 * time.Millisecond))
			s.cut(n, d, &n.cutPeers)
		},
	} {
		for _, step := range steps {
			t.Run(name+" "+step, func(t *testing.T) {
				t.Parallel()
				for d := 500 * time.Millisecond; d < 7*time.Second; d += 300 * time.Millisecond {
					run(t, 3, 45*time.Second, func(s *sim) {
						s.at, s.fault, s.fromWindow = step, func(n *node) { fault(s, n, d) }, s.windows.At(s.began)+2
					}, func(s *sim, check *is.I) {
						check.Equal(s.cloud.Violations(), nil)
						missed, late, _ := s.check()
						check.Equal(len(missed), 0)
						check.True(len(late) <= 1)
					})
				}
			})
		}
	}
}
