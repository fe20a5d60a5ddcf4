// Package peerapi connects the protocols between the processes of the system to
// HTTP and JSON. For each protocol it registers the server handlers and
// implements the client interface.
package peerapi

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// readTimeout ends a call whose connection is dead without an error (F11). It
// exceeds the duration of long polls, which are answered within a second.
const readTimeout = 5 * time.Second

// Client implements the client side of all protocols. It is safe for concurrent
// use.
type Client struct {
	calls *peer.Client
}

func NewClient() (*Client, error) {
	calls, err := peer.NewClient(readTimeout)
	return &Client{calls: calls}, err
}
