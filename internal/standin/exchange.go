package standin

import (
	"context"
	"errors"
	"time"
)

// ErrConnection is the error of a message to or from a killed process.
var ErrConnection = errors.New("connection failed")

// hop is the time that a message takes one way.
const hop = time.Millisecond

// Call carries one message from one process to another and its answer
// back. The receiver goes on when the sender gives up, as a server does whose
// client has left. A silent connection loses the message without a sign.
func Call[T any](ctx context.Context, from, to *Process, handle func(context.Context) (T, error)) (T, error) {
	done := make(chan outcome[T], 1)
	go func() {
		time.Sleep(hop)
		if got, answered := deliver(from, to, handle); answered {
			done <- got
		}
	}()
	select {
	case got := <-done:
		from.WaitWhilePaused()
		return got.value, got.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

type outcome[T any] struct {
	value T
	err   error
}

func deliver[T any](from, to *Process, handle func(context.Context) (T, error)) (outcome[T], bool) {
	from.WaitWhilePaused()
	to.WaitWhilePaused()
	if lasts(&from.silent) || lasts(&to.silent) {
		return outcome[T]{}, false
	}
	if from.Dead() || to.Dead() {
		return outcome[T]{err: ErrConnection}, true
	}
	value, err := handle(to.Context())
	time.Sleep(hop)
	if to.Dead() {
		err = ErrConnection
	}
	return outcome[T]{value, err}, !lasts(&from.silent) && !lasts(&to.silent)
}
