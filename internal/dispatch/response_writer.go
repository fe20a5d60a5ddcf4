package dispatch

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// pingInterval is the interval of the pings that keep a response alive. The client
// ends an attempt when several pings in a row are missing (F11).
const pingInterval = time.Second

// ResponseWriter writes the events of one attempt. It is safe for concurrent use.
type ResponseWriter struct {
	mu        sync.Mutex
	events    *sse.Writer
	lastWrite time.Time
	stopped   chan struct{}
	stopOnce  sync.Once
}

// StartResponse starts the event stream of an attempt and sends pings until Stop.
// bootID is the boot id of the upstream that runs the attempt.
func StartResponse(c *app.RequestContext, attempt, bootID string) *ResponseWriter {
	c.Header(headerAttempt, attempt)
	c.Header(headerBoot, bootID)
	w := &ResponseWriter{events: sse.NewWriter(c), lastWrite: time.Now(), stopped: make(chan struct{})}
	go w.sendPings()
	return w
}

// Data sends one chunk of the upstream's stream.
func (w *ResponseWriter) Data(data []byte) error { return w.writeEvent("", data) }

// WholeResponse sends a response that is not streamed.
func (w *ResponseWriter) WholeResponse(whole WholeResponse) error {
	return w.writeJSON(eventWhole, whole)
}

// End ends an attempt that completed.
func (w *ResponseWriter) End(e End) error { return w.writeJSON(eventEnd, e) }

// Error ends an attempt that failed.
func (w *ResponseWriter) Error(e *errkind.Error) error {
	return w.writeJSON(eventError, errkind.NewBody(e, ""))
}

// Stop stops the pings. The handler must call it before it returns, because the
// event writer is not valid after that.
func (w *ResponseWriter) Stop() {
	w.stopOnce.Do(func() { close(w.stopped) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = nil
}

func (w *ResponseWriter) writeJSON(eventType string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errkind.Wrap(errkind.Internal, "encode event", err)
	}
	return w.writeEvent(eventType, data)
}

func (w *ResponseWriter) writeEvent(eventType string, data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.events == nil {
		return errkind.New(errkind.Internal, "the response has already ended")
	}
	w.lastWrite = time.Now()
	return w.events.WriteEvent("", eventType, data)
}

func (w *ResponseWriter) sendPings() {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-t.C:
			if w.idle() {
				_ = w.writeEvent(eventPing, nil)
			}
		}
	}
}

func (w *ResponseWriter) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastWrite) >= pingInterval/2
}
