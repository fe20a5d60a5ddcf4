package managed

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Timing of a planned stop.
const (
	// lateRequests is how long requests are served that still reach a draining
	// instance: the platform asks once a second and needs two misses.
	lateRequests = 2800 * time.Millisecond
	// exitMargin is kept from the end of the grace period.
	exitMargin = 500 * time.Millisecond
	// refusalMargin before the end of the drain, requests that no upstream works
	// on are refused. A slow instance has several hundred of them to answer.
	refusalMargin = 700 * time.Millisecond
	drainPoll     = 20 * time.Millisecond
)

// drain answers the requests that have come or still come, and returns when
// none runs or the grace period is nearly over (H14).
func (e *entry) drain() error {
	start := time.Now()
	e.logger.Info("draining", zap.Int64("running", e.machine.Running()))
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := e.machine.Drain(over); err != nil {
		return err
	}
	end := start.Add(e.settings.GracePeriod() - exitMargin)
	late := start.Add(lateRequests)
	for time.Now().Before(end) {
		if time.Now().After(late) {
			e.gateway.CloseBy(end)
			if e.machine.Running() == 0 {
				break
			}
		}
		if time.Until(end) < refusalMargin {
			e.gateway.RefuseWaiting()
		}
		time.Sleep(drainPoll)
	}
	e.logger.Info("stopped", zap.Int64("cut", e.machine.Running()), zap.Duration("took", time.Since(start)))
	return e.machine.Stop()
}
