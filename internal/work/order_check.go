package work

import (
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// maxTimeout bounds an order's time. Without it a huge number of milliseconds
// overflows to a negative duration.
const maxTimeout = 24 * time.Hour

// wholeMilliseconds rounds up, because an order with a timeout of 0 is refused.
func wholeMilliseconds(d time.Duration) int64 {
	return max(1, (d + time.Millisecond - 1).Milliseconds())
}

func badHeader(name, reason string) error {
	return errkind.New(errkind.InvalidRequest, "header "+name+" "+reason)
}

// check refuses headers that could change the request to the upstream: method
// and path become a part of its request line and address.
func (o AttemptRequest) check(h *protocol.RequestHeader) error {
	for _, name := range []string{headerStream, headerOnce} {
		if v := h.Get(name); v != "true" && v != "false" {
			return badHeader(name, "must be true or false")
		}
	}
	switch {
	case o.Method == "" || strings.Trim(o.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return badHeader(headerMethod, "is not a method")
	case !strings.HasPrefix(o.Path, "/") || strings.ContainsFunc(o.Path, notInLine):
		return badHeader(headerPath, "is not a path")
	case !o.Class.Valid():
		return badHeader(headerClass, "must be urgent, normal or bulk")
	case o.Once && o.IdempotencyKey == "":
		return badHeader(headerKey, "is required for a call that runs at most once")
	}
	return nil
}

// notInLine reports whether r would end the path in a request line.
func notInLine(r rune) bool { return r <= ' ' || r == 0x7f }
