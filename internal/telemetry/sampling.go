package telemetry

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// Of the lines with the same message, the first sampleFirst in each samplePeriod
	// are written, and then one in sampleThereafter. At the target load an instance
	// serves 27 requests a second, so all its lines are written.
	sampleFirst      = 100
	sampleThereafter = 50
	samplePeriod     = time.Second
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// droppedLines counts the lines that sampling dropped, by message.
type droppedLines struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *droppedLines) count(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[e.Message]++
}

func (l *droppedLines) take() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.counts
	l.counts = make(map[string]int)
	return taken
}

// newCore returns a core that samples the lines below warn. It writes all others,
// because they report failures.
func newCore(enc zapcore.Encoder, out zapcore.WriteSyncer, level zap.AtomicLevel, l *droppedLines) zapcore.Core {
	low := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at < zapcore.WarnLevel && level.Enabled(at) })
	high := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at >= zapcore.WarnLevel && level.Enabled(at) })
	return zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(enc, out, low), samplePeriod, sampleFirst, sampleThereafter, zapcore.SamplerHook(l.count)),
		zapcore.NewCore(enc.Clone(), out, high),
	)
}

// reportDropped logs the number of dropped lines at regular intervals. It never
// returns.
func reportDropped(logger *zap.Logger, l *droppedLines, w *lineWriter) {
	for {
		time.Sleep(dropReportInterval)
		logDropped(logger, l, w)
	}
}

// logDropped logs the lines that were dropped since its last call, if any.
func logDropped(logger *zap.Logger, l *droppedLines, w *lineWriter) {
	sampled, lost := l.take(), w.lost.Swap(0)
	if len(sampled) > 0 || lost > 0 {
		logger.Warn("log lines dropped", zap.Any("sampled", sampled), zap.Int64("not_read_in_time", lost))
	}
}
