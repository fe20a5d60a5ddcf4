package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// defaultMaxBufferedBytes is the limit of the buffers if there is no budget.
const defaultMaxBufferedBytes = 64 << 20

// errBuffersFull means that the buffers of all requests have reached their limit.
var errBuffersFull = errors.New("the instance has no memory left to buffer the response")

// bufferReservation is the part of the gateway's buffer budget that one request
// holds.
type bufferReservation struct {
	budget   *clientbudget.Share
	response clientbudget.Response
	held     int
}

// resize changes the reservation to n bytes. It reports whether they are available;
// if not, the reservation stays as it is.
func (b *bufferReservation) resize(n int) bool { return b.reserve(n, false) }

// reserve is like resize; final tells that the request will not need more.
func (b *bufferReservation) reserve(n int, final bool) bool {
	b.response.Share = b.budget
	if !b.response.Resize(int64(n), final) {
		return false
	}
	b.held = n
	return true
}

// wait waits until the reservation has n bytes. It may lose all of them if it fails.
func (b *bufferReservation) wait(ctx context.Context, n int, final bool) error {
	err := b.response.Wait(ctx, int64(n), final)
	b.held = int(b.response.Held())
	return err
}

// complete tells that the request needs no more than it holds.
func (b *bufferReservation) complete() { b.reserve(b.held, true) }

func (b *bufferReservation) release() { b.reserve(0, true) }

// heldBytes returns what the request holds of earlier attempts: an error response that the caller may get
// and the buffer for events.
func (r *request) heldBytes() int {
	n := r.events.CapacityFor(0)
	if r.fallback != nil {
		n += r.fallback.body.capacity
	}
	return n
}

// reserveBuffers changes the request's part of the buffer budget to n bytes beside heldBytes. If they are
// not free, it waits for the time that the request has left. The upstream is not read meanwhile, so the
// wait does not count as its silence. It returns errBuffersFull if no memory became free in time, and the
// error of ctx if the caller has disconnected or the instance ends.
func (r *request) reserveBuffers(ctx context.Context, detector *stallDetector, n int, final bool) error {
	if r.buffers.reserve(r.heldBytes()+n, final) {
		return nil
	}
	if r.fallback != nil && r.fallback.body.capacity > clientbudget.SmallBytes {
		// Others may wait for this memory.
		r.fallback = nil
		r.buffers.reserve(r.heldBytes(), true)
	}
	end := r.deadline.Add(-minRemaining)
	if w := r.waiting(); r.route.Kind == fleet.Streaming {
		end = earlier(end, w.Start.Add(w.Patience))
	}
	waitCtx, cancel := context.WithDeadline(detector.ctx, end)
	defer cancel()
	began := time.Now()
	err := r.buffers.wait(waitCtx, r.heldBytes()+n, final)
	r.bufferWait += time.Since(began)
	switch {
	case err == nil:
		detector.eventReceived()
		detector.dataReceived()
		detector.restartResponseTimer()
		r.g.Stats.countBufferWait("granted")
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		r.g.Stats.countBufferWait("cancelled")
		return ctx.Err()
	case errors.Is(err, clientbudget.ErrDisplaced):
		r.g.Stats.countBufferWait("displaced")
	case errors.Is(err, clientbudget.ErrTooLarge):
		r.g.Stats.countBufferWait("too_large")
	default:
		r.g.Stats.countBufferWait("expired")
	}
	return errBuffersFull
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
