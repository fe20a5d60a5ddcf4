package tokenquota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestLostCheckpoint guards against a busy team that spends its quota twice after a start whose
// last checkpoint is lost, and against refusing the others altogether.
func TestLostCheckpoint(t *testing.T) {
	// With this burst, the rate needs less than the smallest part that may be spent without a record.
	const highBurst = 8000
	for name, row := range map[string]struct {
		kind StartKind
		// recorded is the part of the share in the older checkpoint, and free what may be
		// spent after the start.
		recorded, free float64
		burst          float64
	}{
		"busy":                 {CheckpointLost, 0.95, 0, highBurst},
		"not busy":             {CheckpointLost, 0.5, 1 - lostFraction, highBurst},
		"not listed":           {CheckpointLost, 0, 1 - lostFraction, highBurst},
		"restart, not listed":  {Restart, 0, 1 - checkpointThreshold - checkpointStep, highBurst},
		"restart, long before": {Restart, 0.95, 1 - checkpointThreshold - checkpointStep, highBurst},
		// For a team that is listed, an instance gives out what the rate needs: 8,500 of 9,000 tokens.
		"restart, low burst":              {Restart, 0, 1 - checkpointThreshold - checkpointStep, 1000},
		"restart, long before, low burst": {Restart, 0.95, 1 - 8500./9000, 1000},
		"lost, long before, low burst":    {CheckpointLost, 0.5, 1 - 8500./9000, 1000},
		"lost, not listed, low burst":     {CheckpointLost, 0, 1 - lostFraction, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				b := Bounds{Window: 8 * time.Second}
				share := b.allowance(1000, row.burst)
				l := NewLimiter("entry-0", b, nil)
				spent := map[string][]float64{}
				if row.recorded > 0 {
					spent["t"] = []float64{row.recorded * share}
				}
				l.Resume(row.kind, Checkpoint{At: time.Now().Add(-2 * b.Window).UnixMilli(), Spent: spent})
				l.Configure(&fleet.Config{Version: 1, Teams: []fleet.Team{{Name: "t", Rate: 1000, Burst: row.burst}}}, []string{"entry-0"})
				withStore(t, l)
				check.True(!l.Take(t.Context(), "t", row.free*share+1).Allowed)
				check.True(row.free == 0 || l.Take(t.Context(), "t", row.free*share-1).Allowed)
				time.Sleep(b.Window + windowMargin + time.Millisecond)
				check.True(l.Take(t.Context(), "t", row.free*share+1).Allowed)
			})
		})
	}
}
