package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxQueuedBytes bounds the lines that wait for a slow log output. It is enough
	// for several seconds of a busy instance's lines, and less than a twentieth of
	// the instance's memory.
	maxQueuedBytes = 1 << 20
	maxQueuedLines = 8192
	// syncTimeout bounds how long a process waits at exit until its last lines are
	// written.
	syncTimeout      = 200 * time.Millisecond
	syncPollInterval = 5 * time.Millisecond
)

// lineWriter writes lines in the background, so that a request never waits for a
// slow log output. Lines that do not fit into its queue are dropped and counted.
type lineWriter struct {
	out    io.Writer
	lines  chan []byte
	queued atomic.Int64
	// lost counts the lines that did not fit or could not be written.
	lost atomic.Int64
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
	for end := time.Now().Add(syncTimeout); w.queued.Load() > 0; time.Sleep(syncPollInterval) {
		if time.Now().After(end) {
			return errors.Errorf("%d bytes of log lines not written within the timeout", w.queued.Load())
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
