package dispatch

import (
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// maxTimeout bounds the timeout of an attempt request. Without it a huge number of
// milliseconds would overflow to a negative duration.
const maxTimeout = 24 * time.Hour

// ceilMilliseconds rounds up, because a timeout of 0 is refused.
func ceilMilliseconds(d time.Duration) int64 {
	return max(1, (d + time.Millisecond - 1).Milliseconds())
}

func badHeader(name, reason string) error {
	return errkind.New(errkind.InvalidRequest, "header "+name+" "+reason)
}

// check refuses invalid headers. The method and the path become part of the
// request line and the address of the request to the upstream, so a space or a
// control character in them could change that request.
func (r AttemptRequest) check(h *protocol.RequestHeader) error {
	for _, name := range []string{headerStream, headerOnce} {
		if v := h.Get(name); v != "true" && v != "false" {
			return badHeader(name, "must be true or false")
		}
	}
	switch {
	case r.Method == "" || strings.Trim(r.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return badHeader(headerMethod, "is not a method")
	case !strings.HasPrefix(r.Path, "/") || strings.ContainsFunc(r.Path, endsPath):
		return badHeader(headerPath, "is not a path")
	case !r.Class.Valid():
		return badHeader(headerClass, "must be urgent, normal or bulk")
	case r.Once && r.IdempotencyKey == "":
		return badHeader(headerKey, "is required for a call that runs at most once")
	}
	return nil
}

// endsPath reports whether c would end the path in an HTTP request line.
func endsPath(c rune) bool { return c <= ' ' || c == 0x7f }
