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

// slowReader reads nothing until it is released.
type slowReader struct {
	release chan struct{}
	mu      sync.Mutex
	read    bytes.Buffer
}

func (r *slowReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.Write(p)
}

func (r *slowReader) lines(with string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Count(r.read.String(), with)
}

// promptReader returns a logger whose lines are read at once.
func promptReader() (*slowReader, *lineWriter, *leftOut, *zap.Logger) {
	out := &slowReader{release: make(chan struct{})}
	close(out.release)
	w, left := newLineWriter(out), &leftOut{counts: make(map[string]int)}
	return out, w, left, zap.New(newCore(jsonEncoder(), w, zap.NewAtomicLevel(), left))
}

// TestBoundedVolume guards against logs that grow with the load, against failures
// that are left out, and against lines that are missing without a word.
func TestBoundedVolume(t *testing.T) {
	check := is.New(t)
	out, w, left, logger := promptReader()
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
	check.Equal(left.take()["request served"], lines-written)
	check.Equal(len(left.take()), 0)
}

// TestNeverBlocks guards against a request that waits for the reader of the logs.
func TestNeverBlocks(t *testing.T) {
	check := is.New(t)
	out := &slowReader{release: make(chan struct{})}
	w := newLineWriter(out)
	logger := zap.New(newCore(jsonEncoder(), w, zap.NewAtomicLevel(), &leftOut{counts: make(map[string]int)}))
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

// TestLeftOutLine guards against lines that are missing without a word.
func TestLeftOutLine(t *testing.T) {
	check := is.New(t)
	out, w, left, logger := promptReader()
	for range 500 {
		logger.Info("request served")
	}
	tellLeftOut(logger, left, w)
	tellLeftOut(logger, left, w)
	check.NoErr(w.Sync())
	check.Equal(out.lines("log lines left out"), 1)
	check.Equal(out.lines(`"sampled":{"request served":`), 1)
}

// BenchmarkRequestLine measures the line of a served request: the processor time
// that logging adds to a request.
func BenchmarkRequestLine(b *testing.B) {
	logger := newLogger(io.Discard, zap.NewAtomicLevel(), zap.String("instance", "entry-1"), zap.String("data_centre", "dc-a"))
	upstreams := []string{"i-7f3a91c2"}
	for i := range b.N {
		// A message of its own keeps each line from being sampled.
		logger.Info(fmt.Sprint("request served ", i%1000), zap.String("request", "9c41d07be2a35f68"), zap.Int("status", 200), zap.Duration("took", time.Second),
			zap.String("route", "draft"), zap.String("team", "blue"), zap.String("model", "m1/a1"), zap.Strings("upstreams", upstreams),
			zap.Int("ran", 1), zap.Int("events", 7), zap.Duration("sent_after", time.Millisecond), zap.Duration("first_byte_after", time.Second))
	}
}
