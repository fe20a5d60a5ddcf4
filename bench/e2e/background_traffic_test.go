package e2e

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// trafficDeadline is the deadline of each request of the background traffic.
const trafficDeadline = 5 * time.Second

// trafficRequest is a request of the background traffic with its answer.
type trafficRequest struct {
	model    string
	sentAt   time.Time
	duration time.Duration
	answer   answer
}

// isLost reports whether the request got neither a complete answer nor a refusal
// in time (H3, H10). If a cold load is still in progress at the deadline, the
// request is refused with ran "unknown"; that does not count as lost.
func (s trafficRequest) isLost() bool {
	if s.duration > trafficDeadline+2*time.Second || s.answer.err != nil {
		return true
	}
	if s.answer.status == http.StatusOK {
		return !s.answer.complete()
	}
	return s.answer.refusal.Kind == "" || s.answer.refusal.Ran != errkind.RanNo && s.answer.refusal.Kind != errkind.DeadlinePassed
}

// backgroundTraffic sends short streams for several models until it is stopped.
// Each model has at most one request at a time.
type backgroundTraffic struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent []trafficRequest
}

func (f *testFleet) startTraffic(p *fleet.Process, models ...string) *backgroundTraffic {
	b := &backgroundTraffic{stop: make(chan struct{})}
	for _, model := range models {
		b.wg.Go(func() { b.run(f, p, model) })
	}
	return b
}

func (b *backgroundTraffic) run(f *testFleet, p *fleet.Process, model string) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
		sentAt := time.Now()
		a := f.post(p, "/v1/completions", completion(model, 2, true), map[string]string{"X-Request-Deadline-Ms": "5000"})
		b.mu.Lock()
		b.sent = append(b.sent, trafficRequest{model, sentAt, time.Since(sentAt), a})
		b.mu.Unlock()
	}
}

// since returns the requests for the model that were sent at or after t.
func (b *backgroundTraffic) since(t time.Time, model string) []trafficRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(b.sent), func(s trafficRequest) bool { return s.model != model || s.sentAt.Before(t) })
}

// stopAndCollect stops the traffic and returns all its requests.
func (b *backgroundTraffic) stopAndCollect() []trafficRequest {
	close(b.stop)
	b.wg.Wait()
	return b.sent
}
