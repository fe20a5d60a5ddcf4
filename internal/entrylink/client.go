package entrylink

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topic"
)

// Bounds of calls to other entry instances.
const (
	// borrowTimeout is some round trips of a region; a request waits for it.
	borrowTimeout = 80 * time.Millisecond
	// readTimeout ends a call on a connection that went silent.
	readTimeout  = 2 * time.Second
	topicTimeout = 500 * time.Millisecond
	// relayMargin is added to the wait of a read from another instance.
	relayMargin = 150 * time.Millisecond
	// avoidFor keeps an instance that did not answer from being asked.
	avoidFor = time.Second
	// mostLenders bounds the calls for one request.
	mostLenders = 6
)

// Client calls other entry instances.
type Client struct {
	self  string
	calls *peer.Client
	views func() *fleet.View

	mu    sync.Mutex
	avoid map[string]time.Time
}

// NewClient returns a client of the instance named self; views gives the
// members to call.
func NewClient(self string, views func() *fleet.View) (*Client, error) {
	calls, err := peer.NewClient(readTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{self: self, calls: calls, views: views, avoid: make(map[string]time.Time)}, nil
}

// others returns the other entry instances in random order.
func (c *Client) others() []fleet.Member {
	v := c.views()
	if v == nil {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []fleet.Member
	for _, m := range v.Members {
		if m.Role == fleet.RoleEntry && m.Name != c.self && now.After(c.avoid[m.Addr]) {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (c *Client) failed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[addr] = time.Now().Add(avoidFor)
}

var _ tokenquota.Lender = (*Client)(nil)

// Borrow implements tokenquota.Lender.
func (c *Client) Borrow(ctx context.Context, team string, tokens float64, holders []string) tokenquota.Borrowing {
	var got tokenquota.Borrowing
	asked := 0
	for _, m := range c.others() {
		if tokens <= 0 || asked >= mostLenders || ctx.Err() != nil {
			break
		}
		if !slices.Contains(holders, m.Name) {
			continue
		}
		asked++
		call, cancel := context.WithTimeout(ctx, borrowTimeout)
		var resp borrowResponse
		err := c.calls.Call(call, m.Addr, pathBorrow, borrowRequest{From: c.self, Team: team, Tokens: tokens}, &resp)
		cancel()
		if err != nil {
			c.failed(m.Addr)
			continue
		}
		got.Reached = got.Reached || resp.Holder
		if resp.Tokens > 0 {
			got.Loans = append(got.Loans, tokenquota.Loan{From: m.Name, Tokens: resp.Tokens})
			tokens -= resp.Tokens
		}
		if w := time.Duration(resp.WaitMS) * time.Millisecond; w > 0 && (got.Wait == 0 || w < got.Wait) {
			got.Wait = w
		}
	}
	return got
}

// Return implements tokenquota.Lender.
func (c *Client) Return(ctx context.Context, team string, loans []tokenquota.Loan) error {
	v := c.views()
	for _, l := range loans {
		var resp returnResponse
		if err := c.calls.Call(ctx, v.Members[l.From].Addr, pathReturn, returnRequest{Team: team, Tokens: l.Tokens}, &resp); err != nil {
			return errors.Wrapf(err, "return %.0f tokens to %s", l.Tokens, l.From)
		}
	}
	return nil
}

var _ topic.Source = (*Client)(nil)

// List returns the records of a topic that another instance knows.
func (c *Client) List(ctx context.Context, t topic.Name) (topic.Page, error) {
	for _, m := range c.others() {
		call, cancel := context.WithTimeout(ctx, topicTimeout)
		var resp topicResponse
		err := c.calls.Call(call, m.Addr, pathTopic, topicRequest{Topic: t}, &resp)
		cancel()
		if err != nil {
			c.failed(m.Addr)
			continue
		}
		if resp.Known {
			return resp.Page, nil
		}
	}
	return topic.Page{}, errors.New("no other entry instance answered")
}

// readersPerInstance is how many instances read from one that reads the store.
const readersPerInstance = 16

// relay returns the instance that this one reads from, or false if it reads the
// store itself. All instances see the same members, so they agree without
// talking to each other; one that does not answer is left out for a while.
func (c *Client) relay() (fleet.Member, bool) {
	v := c.views()
	if v == nil {
		return fleet.Member{}, false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, m := range v.Members {
		if m.Role == fleet.RoleEntry && (m.Name == c.self || now.After(c.avoid[m.Addr])) {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	readers := (len(names) + readersPerInstance - 1) / readersPerInstance
	if readers == 0 || slices.Contains(names[:readers], c.self) {
		return fleet.Member{}, false
	}
	return v.Members[names[xxhash.Sum64String(c.self)%uint64(readers)]], true
}

var _ topic.RelayReader = (*Client)(nil)

// ReadFromRelay implements topic.Reader.
func (c *Client) ReadFromRelay(ctx context.Context, t topic.Name, from int64, wait time.Duration) (topic.Page, bool) {
	m, ok := c.relay()
	if !ok {
		return topic.Page{}, false
	}
	call, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	var resp topicResponse
	err := c.calls.Call(call, m.Addr, pathTopic, topicRequest{Topic: t, Fresh: true, From: from, WaitMS: wait.Milliseconds()}, &resp)
	if err != nil || !resp.Known {
		c.failed(m.Addr)
		return topic.Page{}, false
	}
	return resp.Page, true
}

// Read implements topic.Source by listing.
func (c *Client) Read(ctx context.Context, t topic.Name, _ int64, _ time.Duration) (topic.Page, error) {
	return c.List(ctx, t)
}
