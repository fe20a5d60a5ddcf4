package usage

import (
	"slices"
	"time"
)

// maxClockError is by how much the clock of an instance may differ from the median before it is
// corrected: 4% of a window of 5 s, while a wrong sign of the measurement is excluded by
// maxOffsetRoundTrip.
const maxClockError = 200 * time.Millisecond

// corrections returns what instances have to add to their clocks. offsets has by how much the clock
// of each is ahead of that of the caller, whose own offset is 0, and applied what each adds already.
// It contains only instances whose clock is wrong.
func corrections(offsets, applied map[string]time.Duration) map[string]time.Duration {
	if len(offsets) == 0 {
		return nil
	}
	sorted := make([]time.Duration, 0, len(offsets))
	for _, d := range offsets {
		sorted = append(sorted, d)
	}
	slices.Sort(sorted)
	median := sorted[(len(sorted)-1)/2]
	out := make(map[string]time.Duration)
	for name, d := range offsets {
		if off := d - median; off > maxClockError || off < -maxClockError {
			out[name] = applied[name] - off
		}
	}
	return out
}
