package strictconn

import (
	"bytes"
	"sync/atomic"
)

// requests is what the reading side of a connection has to know of the writing side.
type requests struct {
	// began tells that a request has begun that was not answered yet, toHead that the last one was a
	// HEAD request.
	began, toHead atomic.Bool
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	r := &c.requests
	if r.began.CompareAndSwap(false, true) {
		r.toHead.Store(bytes.HasPrefix(p, []byte("HEAD ")))
	}
	return c.Conn.Write(p)
}

// answered tells that the response to the request is complete.
func (r *requests) answered() { r.began.Store(false) }
