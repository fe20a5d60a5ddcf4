package witness

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Transport calls agents.
type Transport interface {
	Write(ctx context.Context, addr string, r Record) (WriteResponse, error)
	Read(ctx context.Context, addr string, req ReadRequest) (ReadResponse, error)
}

// Client is the Transport between processes. It is safe for concurrent use.
type Client struct {
	rpc *peer.Client
}

var _ Transport = (*Client)(nil)

// clientReadTimeout ends a call on an unresponsive connection. Each call has a shorter deadline.
const clientReadTimeout = 2 * time.Second

// NewClient returns a client.
func NewClient() (*Client, error) {
	rpc, err := peer.NewClient(clientReadTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{rpc: rpc}, nil
}

// Write implements Transport.
func (c *Client) Write(ctx context.Context, addr string, r Record) (WriteResponse, error) {
	var resp WriteResponse
	err := c.rpc.Call(ctx, addr, PathWrite, r, &resp)
	return resp, err
}

// Read implements Transport.
func (c *Client) Read(ctx context.Context, addr string, req ReadRequest) (ReadResponse, error) {
	var resp ReadResponse
	err := c.rpc.Call(ctx, addr, PathRead, req, &resp)
	return resp, err
}
