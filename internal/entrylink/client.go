package entrylink

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/topic"
)

// Bounds of calls to other entry instances.
const (
	// borrowTimeout is some round trips of a region; a request waits for it.
	borrowTimeout = 80 * time.Millisecond
	topicTimeout  = 500 * time.Millisecond
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
	calls, err := peer.NewClient(topicTimeout)
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

// Borrow asks other instances for tokens of a team until there are enough.
func (c *Client) Borrow(ctx context.Context, team string, tokens float64) float64 {
	got := 0.0
	for i, m := range c.others() {
		if got >= tokens || i >= mostLenders || ctx.Err() != nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, borrowTimeout)
		var resp borrowResponse
		err := c.calls.Call(call, m.Addr, pathBorrow, borrowRequest{From: c.self, Team: team, Tokens: tokens - got}, &resp)
		cancel()
		if err != nil {
			c.failed(m.Addr)
			continue
		}
		got += resp.Tokens
	}
	return got
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

// Read implements topic.Source by listing.
func (c *Client) Read(ctx context.Context, t topic.Name, _ int64, _ time.Duration) (topic.Page, error) {
	return c.List(ctx, t)
}
