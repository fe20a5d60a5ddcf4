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

// Ensure asks an agent to load a model and waits as long as req says, or until
// ctx ends.
func (c *Client) Ensure(ctx context.Context, addr string, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error) {
	call, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+ensureMargin)
	defer cancel()
	type result struct {
		resp agentapi.EnsureResponse
		err  error
	}
	// The HTTP client takes a deadline from the context but does not notice its
	// cancellation; a caller that leaves must not be waited for.
	done := make(chan result, 1)
	go func() {
		var r result
		r.err = c.calls.Call(call, addr, agentapi.PathEnsure, req, &r.resp)
		done <- r
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-call.Done():
		return agentapi.EnsureResponse{}, call.Err()
	}
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
