package duty_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCalm guards against reports of a fleet without faults that are missing, late or wrong, and
// against calls to the log that grow with the number of instances.
func TestCalm(t *testing.T) {
	for _, instances := range []int{1, 2, 22, 103, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			const windows = 12
			run(t, instances, windows*5*time.Second, func(*sim) {}, func(s *sim, check *is.I) {
				missed, late, wrong := s.check()
				check.Equal(len(missed)+len(late)+len(wrong), 0)
				check.Equal(s.cloud.Violations(), nil)
				check.True(s.log.callCount() <= windows+3) // an append a window, a list, a claim, and a read before a first report
			})
		})
	}
}

// TestWrongClocks guards against runs in the wrong window because the clock of an instance is wrong.
func TestWrongClocks(t *testing.T) {
	for _, instances := range []int{5, 150} {
		testWrongClocks(t, instances)
	}
}

func testWrongClocks(t *testing.T, instances int) {
	for _, off := range []time.Duration{-7 * time.Second, -time.Second, 400 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint(instances, " ", off), func(t *testing.T) {
			run(t, instances, 70*time.Second, func(s *sim) {
				s.startNode("edge-03", true, off)
				s.startNode("edge-04", true, off/2)
			}, func(s *sim, check *is.I) {
				missed, _, wrong := s.check()
				check.Equal(s.cloud.Violations(), nil)
				check.True(len(missed) <= 1) // of the first ones
				check.True(len(wrong) <= 3)  // until the clocks are corrected
				check.True(len(wrong) == 0 || wrong[len(wrong)-1] < s.windows.At(s.began)+4)
			})
		})
	}
}

// TestFleetFaults guards against reports that are missing or wrong, or calls that break the rules, when
// many instances fail together.
func TestFleetFaults(t *testing.T) {
	for name, row := range map[string]struct {
		make        func(s *sim, i int, n *node)
		late, wrong int
	}{
		"all killed":          {make: func(s *sim, i int, n *node) { s.restart(n, time.Duration(2000+i*200)*time.Millisecond) }},
		"all killed for long": {make: func(s *sim, i int, n *node) { s.restart(n, 17*time.Second) }, late: 3},
		"all frozen":          {make: func(s *sim, _ int, n *node) { s.freeze(n, 6*time.Second) }, late: 1},
		"half cut off":        {make: func(s *sim, i int, n *node) { s.cutHalf(i, n) }, wrong: 5},
		"stopped in turn": {make: func(s *sim, i int, n *node) {
			s.after(time.Duration(i)*4*time.Second, func() { s.restart(n, 2*time.Second) })
		}},
		"a slow log":         {make: func(s *sim, _ int, _ *node) { s.log.slow.Store(int64(600 * time.Millisecond)) }},
		"a log that is full": {make: func(s *sim, _ int, _ *node) { s.log.slow.Store(int64(1200 * time.Millisecond)) }, late: 20},
		"the first ones killed": {make: func(s *sim, i int, n *node) {
			if i < 5 {
				n.killed.Store(true)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, 8, 95*time.Second, func(s *sim) {
				s.after(21*time.Second, func() {
					for i, instance := range s.names {
						row.make(s, i, s.node(instance))
					}
				})
			}, func(s *sim, check *is.I) {
				missed, late, wrong := s.check()
				t.Log("missed", missed, "late", late, "wrong", wrong, "first", s.windows.At(s.began), "calls to the log", s.log.callCount())
				check.Equal(s.cloud.Violations(), nil)
				check.True(name == "a log that is full" || len(missed) == 0)
				check.True(len(late) <= row.late)
				check.True(len(wrong) <= row.wrong)
			})
		})
	}
}
