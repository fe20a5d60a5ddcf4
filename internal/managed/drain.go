package managed

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Timing of a graceful shutdown.
const (
	// lateRequestWindow is how long a draining instance still accepts every
	// request. The platform checks readiness once a second and keeps sending
	// requests until two checks have failed.
	lateRequestWindow = 2800 * time.Millisecond
	// exitMargin is how long before the end of the grace period the drain ends.
	exitMargin = 500 * time.Millisecond
	// refusalMargin is how long before the end of the drain the instance refuses
	// the requests that no upstream is processing. There may be several hundred,
	// and a slow instance needs this time to write the responses.
	refusalMargin = 700 * time.Millisecond
	// endMargin is how long before the end of the drain the instance answers the requests that
	// upstreams are still processing.
	endMargin         = 400 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// writeMargin is for the responses of the last requests, which are written after the
	// requests have ended. It is part of exitMargin.
	writeMargin = 200 * time.Millisecond
)

// drain serves running requests and those that still arrive. It returns once
// lateRequestWindow has passed and no request is running, or shortly before the
// grace period ends (H14). Requests that still run then are answered before.
func (e *entry) drain() error {
	start := time.Now()
	e.logger.Info("draining", zap.Int64("running", e.lifecycle.Running()))
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := e.lifecycle.Drain(canceled); err != nil {
		return err
	}
	deadline := start.Add(e.settings.GracePeriod() - exitMargin)
	acceptUntil := start.Add(lateRequestWindow)
	stopped := false
	for time.Now().Before(deadline) {
		if time.Now().After(acceptUntil) {
			e.gateway.SetExitTime(deadline.Add(-endMargin))
			if e.lifecycle.Running() == 0 {
				if stopped {
					break
				}
				// From here on requests are refused. One may have begun just before.
				if err := e.lifecycle.Stop(); err != nil {
					return err
				}
				stopped = true
				continue
			}
		}
		if time.Until(deadline) < refusalMargin {
			e.gateway.RefuseWaiting()
		}
		if time.Until(deadline) < endMargin {
			e.gateway.EndRunning()
		}
		time.Sleep(drainPollInterval)
	}
	if !stopped {
		if err := e.lifecycle.Stop(); err != nil {
			return err
		}
	}
	time.Sleep(writeMargin)
	e.logger.Info("stopped", zap.Int64("cut", e.lifecycle.Running()), zap.Duration("took", time.Since(start)))
	return nil
}
