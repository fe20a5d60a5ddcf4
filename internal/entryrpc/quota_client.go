package entryrpc

import (
	"context"
	stderrors "errors"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
)

var _ tokenquota.HolderClient = (*Client)(nil)

// Borrow implements tokenquota.HolderClient.
func (c *Client) Borrow(ctx context.Context, team string, r tokenquota.Request, holders tokenquota.HolderList) tokenquota.BorrowResult {
	var result tokenquota.BorrowResult
	for i, m := range c.lenders(holders) {
		if i >= maxBorrowCalls || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		var resp borrowResponse
		err := c.peers.Call(callCtx, m.Addr, pathBorrow, borrowRequest{From: c.self, Team: team, Tokens: r.Missing, quotaAsk: newQuotaAsk(r.Ask), Counted: r.Counted}, &resp)
		cancel()
		if err != nil {
			c.markUnavailable(m.Addr)
			continue
		}
		if !result.Add(m.Name, &r, resp.result()) {
			break
		}
	}
	return result
}

// lenders returns the holders to ask, those first that may keep a booking of the request.
func (c *Client) lenders(holders tokenquota.HolderList) []fleet.Member {
	out := slices.DeleteFunc(c.otherEntries(), func(m fleet.Member) bool { return !slices.Contains(holders.All, m.Name) })
	rank := func(m fleet.Member) int {
		if i := slices.Index(holders.First, m.Name); i >= 0 {
			return i
		}
		return len(holders.First)
	}
	slices.SortStableFunc(out, func(a, b fleet.Member) int { return rank(a) - rank(b) })
	return out
}

// Book implements tokenquota.HolderClient.
func (c *Client) Book(ctx context.Context, team string, r tokenquota.BookRequest, holder string) (tokenquota.BookResult, error) {
	var resp bookResponse
	m, ok := c.view().Members[holder]
	if !ok || c.backingOff(m.Addr) {
		return tokenquota.BookResult{}, errors.Errorf("%s is not reachable", holder)
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	if err := c.peers.Call(ctx, m.Addr, pathBook, newBookRequest(team, r), &resp); err != nil {
		// The holder may be of a version without bookings, and still lend.
		return tokenquota.BookResult{}, errors.Wrapf(err, "book %.0f tokens at %s", r.Piece, holder)
	}
	return tokenquota.BookResult{Holder: resp.Holder, Booked: resp.Booked, Wait: time.Duration(resp.WaitMS) * time.Millisecond, Promised: resp.promised()}, nil
}

func (c *Client) backingOff(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil[addr])
}

// Return implements tokenquota.HolderClient.
func (c *Client) Return(ctx context.Context, team string, loans []tokenquota.Loan) error {
	v := c.view()
	var failed error
	for _, l := range loans {
		var resp returnResponse
		if err := c.peers.Call(ctx, v.Members[l.From].Addr, pathReturn, returnRequest{Team: team, Tokens: l.Tokens}, &resp); err != nil {
			failed = stderrors.Join(failed, errors.Wrapf(err, "return %.0f tokens to %s", l.Tokens, l.From))
		}
	}
	return failed
}
