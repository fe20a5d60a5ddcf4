package streamorigin

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// sharedRead runs one read at a time. A read that begins after a call serves all callers that wait
// for it.
type sharedRead struct {
	// running is held while the read runs.
	running chan struct{}
	// began is when the last read began, and err its result.
	began time.Time
	err   error
}

func newSharedRead() *sharedRead { return &sharedRead{running: make(chan struct{}, 1)} }

// do returns the result of a read that began after the call.
func (s *sharedRead) do(ctx context.Context, timeout time.Duration, read func(context.Context) error) error {
	called := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case s.running <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for another read")
	}
	defer func() { <-s.running }()
	if !s.began.After(called) {
		s.began = time.Now()
		s.err = read(ctx)
	}
	return s.err
}
