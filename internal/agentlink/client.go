// Package agentlink is the entry instance's side of its links to agents: it
// asks them to load models, and follows their states.
package agentlink

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Bounds of calls to agents.
const (
	// readTimeout ends a call on a connection that went silent. It is longer
	// than any wait that an agent is asked for.
	readTimeout = 20 * time.Second
	// ensureMargin is added to the wait that an agent is asked for.
	ensureMargin = 300 * time.Millisecond
)

// Client calls agents.
type Client struct {
	calls *peer.Client
}

// NewClient returns a client.
func NewClient() (*Client, error) {
	calls, err := peer.NewClient(readTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{calls: calls}, nil
}

// Ensure asks an agent to load a model and waits as long as req says.
func (c *Client) Ensure(ctx context.Context, addr string, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error) {
	call, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+ensureMargin)
	defer cancel()
	var resp agentapi.EnsureResponse
	err := c.calls.Call(call, addr, agentapi.PathEnsure, req, &resp)
	return resp, err
}

func (c *Client) state(ctx context.Context, addr string, req agentapi.StateRequest) (*agentapi.State, error) {
	call, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+stateMargin)
	defer cancel()
	var st agentapi.State
	if err := c.calls.Call(call, addr, agentapi.PathState, req, &st); err != nil {
		return nil, err
	}
	return &st, nil
}
