package standin

import (
	"context"
	"errors"
	"time"
)

// ErrConnection is returned for a message to or from a killed process.
var ErrConnection = errors.New("connection failed")

// oneWayLatency is the network latency of a message in one direction.
const oneWayLatency = time.Millisecond

// Call simulates an RPC: it delivers a request from one process to another and
// returns the response. If ctx ends, the caller stops waiting while handle runs on,
// like a server whose client has disconnected. If either process is blackholed, the
// request or the response is lost and the call blocks until ctx ends.
func Call[T any](ctx context.Context, from, to *Process, handle func(context.Context) (T, error)) (T, error) {
	done := make(chan result[T], 1)
	go func() {
		time.Sleep(oneWayLatency)
		if res, responded := deliver(from, to, handle); responded {
			done <- res
		}
	}()
	select {
	case res := <-done:
		from.WaitWhilePaused()
		return res.value, res.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

type result[T any] struct {
	value T
	err   error
}

func deliver[T any](from, to *Process, handle func(context.Context) (T, error)) (result[T], bool) {
	from.WaitWhilePaused()
	to.WaitWhilePaused()
	if isActive(&from.blackholedUntil) || isActive(&to.blackholedUntil) {
		return result[T]{}, false
	}
	if from.Dead() || to.Dead() {
		return result[T]{err: ErrConnection}, true
	}
	value, err := handle(to.Context())
	time.Sleep(oneWayLatency)
	if to.Dead() {
		err = ErrConnection
	}
	return result[T]{value, err}, !isActive(&from.blackholedUntil) && !isActive(&to.blackholedUntil)
}
