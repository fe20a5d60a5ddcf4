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
	for _, instances := range []int{1, 2, 22, 103} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			const windows = 12
			run(t, instances, windows*5*time.Second, func(*sim) {}, func(s *sim, check *is.I) {
				missed, late, wrong := s.check()
				check.Equal(len(missed)+len(late)+len(wrong), 0)
				check.Equal(s.cloud.Violations(), nil)
				check.True(s.log.calls <= windows+3) // an append a window, a list, a claim, and a read before a first report
			})
		})
	}
}

// TestWrongClocks guards against runs in the wrong window because the clock of an instance is wrong.
func TestWrongClocks(t *testing.T) {
	for _, off := range []time.Duration{-7 * time.Second, -time.Second, 400 * time.Millisecond, 3 * time.Second} {
		t.Run(off.String(), func(t *testing.T) {
			run(t, 5, 70*time.Second, func(s *sim) {
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
