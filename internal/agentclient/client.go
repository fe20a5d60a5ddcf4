// Package agentclient connects an entry instance to the agents: it asks them to
// load models and watches their states.
package agentclient

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Timeouts of calls to agents.
const (
	// readTimeout ends a call on an unresponsive connection. It is longer than any
	// wait time sent to an agent.
	readTimeout = 20 * time.Second
	// ensureMargin is added to the wait time sent to an agent.
	ensureMargin = 300 * time.Millisecond
)

// Client calls agents.
type Client struct {
	rpc *peer.Client
}

func NewClient() (*Client, error) {
	rpc, err := peer.NewClient(readTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{rpc: rpc}, nil
}

// Ensure asks an agent to load a model. It waits for the time in req, or until
// ctx ends.
func (c *Client) Ensure(ctx context.Context, addr string, req agentapi.EnsureRequest) (agentapi.EnsureResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+ensureMargin)
	defer cancel()
	type result struct {
		resp agentapi.EnsureResponse
		err  error
	}
	// The HTTP client applies the deadline of the context but ignores its
	// cancellation. The goroutine lets Ensure return as soon as the caller
	// cancels.
	done := make(chan result, 1)
	background.Go(zap.L(), "ensure model", func() {
		var r result
		r.err = c.rpc.Call(callCtx, addr, agentapi.PathEnsure, req, &r.resp)
		done <- r
	})
	select {
	case r := <-done:
		return r.resp, r.err
	case <-callCtx.Done():
		return agentapi.EnsureResponse{}, callCtx.Err()
	}
}

// permitTimeout is several round trips within a region, and below agentapi.PermitTTL.
const permitTimeout = 100 * time.Millisecond

// Permit asks an agent whether a request may be sent to its engine, which is cold
// or names a rate limit.
func (c *Client) Permit(ctx context.Context, addr string, req agentapi.PermitRequest) (agentapi.PermitResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var resp agentapi.PermitResponse
	err := c.rpc.Call(callCtx, addr, agentapi.PathPermit, req, &resp)
	return resp, err
}

func (c *Client) state(ctx context.Context, addr string, req agentapi.StateRequest) (*agentapi.State, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+longPollMargin)
	defer cancel()
	var st agentapi.State
	if err := c.rpc.Call(callCtx, addr, agentapi.PathState, req, &st); err != nil {
		return nil, err
	}
	return &st, nil
}
