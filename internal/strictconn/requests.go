package strictconn

import (
	"bytes"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// requests is what the reading side of a connection has to know of the writing side.
type requests struct {
	// began tells that a request has begun that was not answered yet, toHead that the last one was a
	// HEAD request.
	began, toHead atomic.Bool

	// writing is held during a write.
	writing sync.Mutex
	// err is the first error of a write.
	err error
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	r := &c.requests
	r.writing.Lock()
	defer r.writing.Unlock()
	if r.began.CompareAndSwap(false, true) {
		r.toHead.Store(bytes.HasPrefix(p, []byte("HEAD ")))
	}
	n, err := c.Conn.Write(p)
	if err != nil && r.err == nil {
		r.err = err
	}
	return n, err
}

// answered tells that the response to the request is complete.
func (r *requests) answered() { r.began.Store(false) }

// writeFailure returns the error with which the connection failed while a request was written, or nil.
// The kernel reports a reset once: if a write gets it, reads return what has arrived and then EOF,
// as after an orderly end. writeFailure interrupts a write that is under way.
func (c *Conn) writeFailure() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	r := &c.requests
	r.writing.Lock()
	defer r.writing.Unlock()
	// Linux reports a reset that arrives after the peer's FIN, an orderly end, as EPIPE.
	if errors.Is(r.err, syscall.EPIPE) || errors.Is(r.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return r.err
}
