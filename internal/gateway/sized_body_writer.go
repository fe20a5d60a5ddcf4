package gateway

import (
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
)

// sizedBodyWriter writes a response with a length while its handler runs. Hertz would write it after
// the handler, when the request no longer holds its part of the buffer budget, and from a copy.
type sizedBodyWriter struct {
	response *protocol.Response
	w        network.Writer
	// left is how many bytes of the body are still to be written.
	left    int
	started bool
}

var _ network.ExtWriter = (*sizedBodyWriter)(nil)

// Write implements network.ExtWriter.
func (s *sizedBodyWriter) Write(p []byte) (int, error) {
	if len(p) > s.left {
		return 0, errors.Errorf("%d bytes more than the length of the body", len(p)-s.left)
	}
	if !s.started {
		s.started = true
		s.response.Header.SetContentLength(s.left)
		if err := resp.WriteHeader(&s.response.Header, s.w); err != nil {
			return 0, err
		}
	}
	s.left -= len(p)
	return s.w.WriteBinary(p)
}

// Flush implements network.ExtWriter.
func (s *sizedBodyWriter) Flush() error { return s.w.Flush() }

// Finalize implements network.ExtWriter. Hertz calls it after the handler.
func (s *sizedBodyWriter) Finalize() error {
	if s.left > 0 {
		return errors.Errorf("%d bytes of the body are missing", s.left)
	}
	return s.w.Flush()
}
