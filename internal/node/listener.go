// Package node assembles the processes of an agent and of an entry instance
// from their components: listeners, clients and the view of the fleet. It
// starts and stops them in the right order.
package node

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Limits of the listeners.
const (
	// callerMaxBodyBytes is the largest body that hertz reads. The configured
	// limit is lower, and larger bodies are refused with an error kind of their
	// own.
	callerMaxBodyBytes   = 16 << 20
	peerMaxBodyBytes     = 32 << 20
	operatorMaxBodyBytes = 4 << 20
	writeTimeout         = 30 * time.Second
	// listenerStopTimeout is the time limit for closing the listeners. The
	// requests have ended by then; only idle connections and long polls of other
	// instances remain.
	listenerStopTimeout = 500 * time.Millisecond
)

// listener is one HTTP server of a process.
type listener struct {
	name   string
	server *server.Hertz
}

func listen(name, addr string, maxBodyBytes int) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: maxBodyBytes, WriteTimeout: writeTimeout})
	return &listener{name: name, server: h}, nil
}

// start serves in the background. Run returns when the listener is stopped.
func (l *listener) start() {
	go func() { _ = l.server.Run() }()
}

// stop closes the listener. Connections that are still open when ctx ends stay
// open until the process exits.
func (l *listener) stop(ctx context.Context) { _ = l.server.Shutdown(ctx) }
