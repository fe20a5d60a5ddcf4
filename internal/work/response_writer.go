package work

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// pingInterval is the longest pause between two events of an answer. The
// client ends an attempt after several missed pings (F11).
const pingInterval = time.Second

// ResponseWriter writes the events of one attempt. It is safe for concurrent use.
type ResponseWriter struct {
	mu      sync.Mutex
	w       *sse.Writer
	last    time.Time
	stopped chan struct{}
	once    sync.Once
}

// StartResponse begins the event stream for the order's attempt and keeps it alive
// with pings until Stop. The boot id names the present life of the upstream.
func StartResponse(c *app.RequestContext, attempt, bootID string) *ResponseWriter {
	c.Header(headerAttempt, attempt)
	c.Header(headerBoot, bootID)
	a := &ResponseWriter{w: sse.NewWriter(c), last: time.Now(), stopped: make(chan struct{})}
	go a.keepAlive()
	return a
}

// Data forwards one chunk of the upstream's stream.
func (a *ResponseWriter) Data(data []byte) error { return a.event("", data) }

// WholeResponse sends an unstreamed answer.
func (a *ResponseWriter) WholeResponse(w WholeResponse) error { return a.json(eventWhole, w) }

// End completes the attempt.
func (a *ResponseWriter) End(e End) error { return a.json(eventEnd, e) }

// Error ends the attempt with a failure.
func (a *ResponseWriter) Error(e *errkind.Error) error { return a.json(eventError, errkind.NewBody(e, "")) }

// Stop ends the pings. The handler calls it before it returns, because the
// writer is not valid afterwards.
func (a *ResponseWriter) Stop() {
	a.once.Do(func() { close(a.stopped) })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.w = nil
}

func (a *ResponseWriter) json(kind string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errkind.Wrap(errkind.Internal, "encode event", err)
	}
	return a.event(kind, data)
}

func (a *ResponseWriter) event(kind string, data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.w == nil {
		return errkind.New(errkind.Internal, "the answer has ended")
	}
	a.last = time.Now()
	return a.w.WriteEvent("", kind, data)
}

func (a *ResponseWriter) keepAlive() {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-a.stopped:
			return
		case <-t.C:
			if a.idle() {
				_ = a.event(eventPing, nil)
			}
		}
	}
}

func (a *ResponseWriter) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.last) >= pingInterval/2
}
