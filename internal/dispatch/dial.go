package dispatch

import (
	"errors"
	"net"
)

// isDialError reports whether err occurred while the connection was being opened,
// so that no part of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
