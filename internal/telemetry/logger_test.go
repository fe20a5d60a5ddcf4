package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockingWriter) lines(with string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Count(w.written.String(), with)
}

// newTestLogger returns a logger whose output does not block.
func newTestLogger() (*blockingWriter, *lineWriter, *droppedLines, *zap.Logger) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	w, dropped := newLineWriter(out), &droppedLines{counts: make(map[string]int)}
	return out, w, dropped, zap.New(newCore(jsonEncoder(), w, zap.NewAtomicLevel(), dropped))
}

// TestSamplingBoundsVolume checks that the volume of info lines is bounded, that
// warnings are never dropped, and that every dropped line is counted.
func TestSamplingBoundsVolume(t *testing.T) {
	check := is.New(t)
	out, w, dropped, logger := newTestLogger()
	const lines = 3000
	for i := range lines {
		logger.Info("request served", zap.Int("n", i))
		if i%2 == 0 {
			logger.Warn("request not served", zap.Int("n", i))
		}
		if i%1000 == 0 {
			check.NoErr(w.Sync())
		}
	}
	check.NoErr(w.Sync())
	check.Equal(out.lines("request not served"), lines/2)
	written := out.lines("request served")
	check.True(written < lines/2)
	check.Equal(dropped.take()["request served"], lines-written)
	check.Equal(len(dropped.take()), 0)
}

// TestLoggingNeverBlocks checks that a blocked log output does not block requests.
func TestLoggingNeverBlocks(t *testing.T) {
	check := is.New(t)
	out := &blockingWriter{release: make(chan struct{})}
	w := newLineWriter(out)
	logger := zap.New(newCore(jsonEncoder(), w, zap.NewAtomicLevel(), &droppedLines{counts: make(map[string]int)}))
	start := time.Now()
	for i := range 20000 {
		logger.Warn("request not served", zap.String("padding", strings.Repeat("x", 200)), zap.Int("n", i))
	}
	check.True(time.Since(start) < 5*time.Second)
	check.True(w.queued.Load() <= maxQueuedBytes)
	check.True(w.lost.Load() > 0)
	close(out.release)
	check.NoErr(w.Sync())
	check.Equal(int64(out.lines("request not served"))+w.lost.Load(), int64(20000))
}

// TestDroppedLinesAreReported checks that dropped lines are reported, and only once.
func TestDroppedLinesAreReported(t *testing.T) {
	check := is.New(t)
	out, w, dropped, logger := newTestLogger()
	for range 500 {
		logger.Info("request served")
	}
	logDropped(logger, dropped, w)
	logDropped(logger, dropped, w)
	check.NoErr(w.Sync())
	check.Equal(out.lines("log lines dropped"), 1)
	check.Equal(out.lines(`"sampled":{"request served":`), 1)
}

// BenchmarkRequestLine measures the CPU time for logging one served request.
func BenchmarkRequestLine(b *testing.B) {
	logger := newLogger(io.Discard, zap.NewAtomicLevel(), zap.String("instance", "entry-1"), zap.String("data_centre", "dc-a"))
	upstreams := []string{"i-7f3a91c2"}
	for i := range b.N {
		// Different messages keep the lines from being dropped by sampling.
		logger.Info(fmt.Sprint("request served ", i%1000), zap.String("request", "9c41d07be2a35f68"), zap.Int("status", 200), zap.Duration("took", time.Second),
			zap.String("route", "draft"), zap.String("team", "blue"), zap.String("model", "m1/a1"), zap.Strings("upstreams", upstreams),
			zap.Int("ran", 1), zap.Int("events", 7), zap.Duration("sent_after", time.Millisecond), zap.Duration("first_byte_after", time.Second))
	}
}

// TestGlobalLogger guards against lines of packages that have no logger of their own, such as that of an
// invalid response, which are lost.
func TestGlobalLogger(t *testing.T) {
	check := is.New(t)
	before := zap.L()
	t.Cleanup(func() { zap.ReplaceGlobals(before) })
	logger, err := NewLogger("info", "entry-0", "near")
	check.NoErr(err)
	check.Equal(zap.L(), logger)
}
