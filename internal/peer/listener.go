package peer

import (
	"net"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
)

// Pauses after a connection could not be accepted for want of resources.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
)

// listener waits if a connection cannot be accepted for want of resources, such as file
// descriptors. The transport would end with the first such error.
type listener struct {
	net.Listener
	port *clientbudget.Port
}

// Accept implements net.Listener. It closes connections for which the budget has no place.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		if accepted := newAcceptedConn(c, l.port); accepted != nil {
			return accepted, nil
		}
		countRefused(clientbudget.NoConnection, c.RemoteAddr().String())
		_ = c.Close()
	}
}

func (l listener) acceptNext() (net.Conn, error) {
	pause := backoff.ExponentialBackOff{InitialInterval: minAcceptPause, MaxInterval: maxAcceptPause, Multiplier: 2}
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isResourceError(err) {
			return c, err
		}
		zap.L().Warn("cannot accept a connection", zap.Stringer("addr", l.Addr()), zap.String("error", err.Error()))
		time.Sleep(pause.NextBackOff())
	}
}

func isResourceError(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
