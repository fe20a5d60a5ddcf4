package telemetry

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// Of the lines with one message, firstLines a second are written and then one
	// in laterLines. At the target an instance serves 27 requests a second, so
	// that all of its lines are written.
	firstLines   = 100
	laterLines   = 50
	samplePeriod = time.Second
	// leftOutPeriod is how often a line tells what was left out.
	leftOutPeriod = 5 * time.Second
)

// leftOut counts lines that were not written, by message.
type leftOut struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *leftOut) note(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[e.Message]++
}

func (l *leftOut) take() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.counts
	l.counts = make(map[string]int)
	return taken
}

// newCore returns a core that samples what went well and writes every line from
// warn up, which tell of failures.
func newCore(enc zapcore.Encoder, out zapcore.WriteSyncer, level zap.AtomicLevel, l *leftOut) zapcore.Core {
	low := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at < zapcore.WarnLevel && level.Enabled(at) })
	high := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at >= zapcore.WarnLevel && level.Enabled(at) })
	return zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(enc, out, low), samplePeriod, firstLines, laterLines, zapcore.SamplerHook(l.note)),
		zapcore.NewCore(enc.Clone(), out, high),
	)
}

// reportLeftOut tells what was left out as long as the process runs.
func reportLeftOut(logger *zap.Logger, l *leftOut, w *lineWriter) {
	for {
		time.Sleep(leftOutPeriod)
		tellLeftOut(logger, l, w)
	}
}

// tellLeftOut writes a line about what was left out since the last one, if any.
func tellLeftOut(logger *zap.Logger, l *leftOut, w *lineWriter) {
	sampled, lost := l.take(), w.lost.Swap(0)
	if len(sampled) > 0 || lost > 0 {
		logger.Warn("log lines left out", zap.Any("sampled", sampled), zap.Int64("not_read_in_time", lost))
	}
}
