package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxQueuedBytes bounds the lines that wait for a slow reader of the logs:
	// seconds of a busy instance, in under a twentieth of its memory.
	maxQueuedBytes = 1 << 20
	maxQueuedLines = 8192
	// syncPatience bounds the wait for the last lines of a process.
	syncPatience = 200 * time.Millisecond
	syncPoll     = 5 * time.Millisecond
)

// lineWriter passes lines on in the background and never blocks: a request must
// not wait for whoever reads the logs. What does not fit is counted.
type lineWriter struct {
	out    io.Writer
	lines  chan []byte
	queued atomic.Int64
	lost   atomic.Int64
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer.
func (w *lineWriter) Write(p []byte) (int, error) {
	if w.queued.Load()+int64(len(p)) > maxQueuedBytes {
		w.lost.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
		w.queued.Add(int64(len(p)))
	default:
		w.lost.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *lineWriter) Sync() error {
	for end := time.Now().Add(syncPatience); w.queued.Load() > 0; time.Sleep(syncPoll) {
		if time.Now().After(end) {
			return errors.Errorf("%d bytes of the log were not read in time", w.queued.Load())
		}
	}
	return nil
}

func (w *lineWriter) run() {
	for p := range w.lines {
		if _, err := w.out.Write(p); err != nil {
			w.lost.Add(1)
		}
		w.queued.Add(-int64(len(p)))
	}
}
