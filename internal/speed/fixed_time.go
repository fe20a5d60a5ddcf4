package speed

import "time"

// fixedTime is the time in ms that a request takes whatever its prompt: the network, the
// engine's HTTP server and the first step. It starts at 0.
type fixedTime struct {
	factor
	ms float64
}

const (
	// maxFixedMS bounds the fixed time.
	maxFixedMS = 50.0
	// fixedClipMS is by how much an observation may differ from the estimate at most.
	fixedClipMS = 10.0
	// fixedScaleMS is the time of the other parts at which an observation tells as much
	// about them as about the fixed time.
	fixedScaleMS = 8.0
)

// learn takes in what an observation leaves beside the other parts of the estimate.
func (f *fixedTime) learn(leftMS, otherMS float64, now time.Time) {
	share := fixedScaleMS / (fixedScaleMS + otherMS)
	w := f.weightAt(now)
	f.ms = clamp(f.ms+f.gain(now)*share*clamp(leftMS-f.ms, -fixedClipMS, fixedClipMS), 0, maxFixedMS)
	f.weight, f.at = min(maxWeight, w+share), now
}
