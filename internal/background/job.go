package background

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// restartDelay is the pause before a job that panicked is started again. It bounds
// the log lines of a job that panics at every start.
const restartDelay = 500 * time.Millisecond

// Stats counts panics by job; it belongs to the metrics of the process.
var Stats = metrics.NewSet()

// CountPanic counts a panic of the named job.
func CountPanic(job string) {
	Stats.GetOrCreateCounter(fmt.Sprintf("jacinthbend_panics_total{job=%q}", job)).Inc()
}

// Go starts a job that runs once.
func Go(logger *zap.Logger, job string, f func()) {
	go func() { _ = Call(logger, job, f) }()
}

// Run runs a job that the process needs until it returns. It starts the job again
// after a panic, unless ctx has ended.
func Run(ctx context.Context, logger *zap.Logger, job string, f func(context.Context)) {
	for Call(logger, job, func() { f(ctx) }) {
		t := time.NewTimer(restartDelay)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// Call runs f and reports whether it panicked.
func Call(logger *zap.Logger, job string, f func()) (panicked bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		panicked = true
		CountPanic(job)
		logger.Error("job panicked", zap.String("job", job), zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
	}()
	f()
	return false
}
