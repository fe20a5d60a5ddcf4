package entryrpc

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
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// Limits of calls to other entry instances.
const (
	// borrowTimeout is several round trips within a region. It is short because a
	// caller's request waits for the borrow call.
	borrowTimeout = 80 * time.Millisecond
	// readTimeout ends a call on a connection from which no bytes arrive.
	readTimeout = 2 * time.Second
	listTimeout = 500 * time.Millisecond
	// relayReadMargin is the time for a read from the relay beyond its wait for
	// records.
	relayReadMargin = 150 * time.Millisecond
	// unavailableBackoff is how long the client does not call an instance that did
	// not answer, or does not use a relay that did not answer or had no fresh records.
	unavailableBackoff = time.Second
	// maxBorrowCalls bounds the borrow calls for one request.
	maxBorrowCalls = 6
)

// Client calls other entry instances.
type Client struct {
	self  string
	peers *peer.Client
	view  func() *fleet.View

	mu sync.Mutex
	// backoffUntil is when an instance may be called again, by address, and relayBackoffUntil when
	// it may be used as a relay again. A relay whose records are late still lends quota.
	backoffUntil, relayBackoffUntil map[string]time.Time
}

// NewClient returns the client of the instance called self. It calls the entry
// instances among the members of the current view, which view returns.
func NewClient(self string, view func() *fleet.View) (*Client, error) {
	peers, err := peer.NewClient(readTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{self: self, peers: peers, view: view, backoffUntil: make(map[string]time.Time), relayBackoffUntil: make(map[string]time.Time)}, nil
}

// Peers returns the client of the connections to other instances.
func (c *Client) Peers() *peer.Client { return c.peers }

// View returns the current view, nil if there is none yet.
func (c *Client) View() *fleet.View { return c.view() }

// otherEntries returns the other entry instances that are not in backoff, in random
// order.
func (c *Client) otherEntries() []fleet.Member {
	v := c.view()
	if v == nil {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []fleet.Member
	for _, m := range v.Members {
		if m.Role == fleet.RoleEntry && m.Name != c.self && now.After(c.backoffUntil[m.Addr]) {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (c *Client) markUnavailable(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[addr] = time.Now().Add(unavailableBackoff)
}

func (c *Client) markRelayUnavailable(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayBackoffUntil[addr] = time.Now().Add(unavailableBackoff)
}

var _ topicwatch.Source = (*Client)(nil)

// List implements topicwatch.Source. It asks the other entry instances one by one and
// returns the records of the first one that knows the topic.
func (c *Client) List(ctx context.Context, t topicwatch.Name) (topicwatch.Page, error) {
	for _, m := range c.otherEntries() {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		var resp topicResponse
		err := c.peers.Call(callCtx, m.Addr, pathTopic, topicRequest{Topic: t}, &resp)
		cancel()
		if err != nil {
			c.markUnavailable(m.Addr)
			continue
		}
		if resp.Known {
			return resp.Page, nil
		}
	}
	return topicwatch.Page{}, errors.New("no other entry instance could list the topic")
}

// Limits of LostRecords, which delays the start of an instance.
const (
	// lostTimeout is many round trips within a region.
	lostTimeout = 200 * time.Millisecond
	// maxLostCalls is how many instances are asked. Those that have started lately know
	// nothing more than the caller.
	maxLostCalls = 4
)

// LostRecords asks some of the other entry instances for their records of a topic from before
// era. There are none unless the store has come back from a copy without them, or names no era.
func (c *Client) LostRecords(ctx context.Context, t topicwatch.Name, era int64) []topicwatch.Page {
	if era <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lostTimeout)
	defer cancel()
	others := c.otherEntries()
	others = others[:min(len(others), maxLostCalls)]
	pages := make(chan topicwatch.Page, len(others))
	var calls sync.WaitGroup
	for _, m := range others {
		calls.Go(func() {
			var resp topicResponse
			if err := c.peers.Call(ctx, m.Addr, pathTopic, topicRequest{Topic: t, Before: era}, &resp); err == nil && resp.Known {
				pages <- resp.Page
			}
		})
	}
	calls.Wait()
	close(pages)
	var out []topicwatch.Page
	for p := range pages {
		out = append(out, p)
	}
	return out
}

// relay returns the relay that this instance reads a topic from, or false if it reads
// the store. A hash of its name assigns each instance to one of the relays.
func (c *Client) relay(t topicwatch.Name) (fleet.Member, bool) {
	v := c.view()
	if v == nil {
		return fleet.Member{}, false
	}
	relays := c.relaysOf(v, t)
	if len(relays) == 0 || isMember(relays, c.self) {
		return fleet.Member{}, false
	}
	return relays[xxhash.Sum64String(c.self)%uint64(len(relays))], true
}

// IsRelay implements topicwatch.RelayReader.
func (c *Client) IsRelay(t topicwatch.Name) bool {
	v := c.view()
	return v != nil && t == topicwatch.Operators && isMember(c.relaysOf(v, t), c.self)
}

func isMember(members []fleet.Member, name string) bool {
	return slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Name == name })
}

// relaysOf returns the relays of a topic among the instances that are not in backoff.
func (c *Client) relaysOf(v *fleet.View, t topicwatch.Name) []fleet.Member {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return topicRelays(v, c.self, t, func(m fleet.Member) bool {
		return m.Name == c.self || now.After(c.backoffUntil[m.Addr]) && now.After(c.relayBackoffUntil[m.Addr])
	})
}

var _ topicwatch.RelayReader = (*Client)(nil)

// ReadFromRelay implements topicwatch.RelayReader.
func (c *Client) ReadFromRelay(ctx context.Context, t topicwatch.Name, from topicwatch.Position, wait time.Duration) (topicwatch.Page, topicwatch.RelayResult) {
	m, ok := c.relay(t)
	if !ok {
		return topicwatch.Page{}, topicwatch.NoRelay
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+relayReadMargin)
	defer cancel()
	var resp topicResponse
	req := topicRequest{Topic: t, Fresh: true, From: from.Offset, Era: from.Era, WaitMS: wait.Milliseconds()}
	if t == topicwatch.Crashes {
		req.MaxAgeMS = topicwatch.MaxCrashStaleness.Milliseconds()
	}
	err := c.peers.Call(callCtx, m.Addr, pathTopic, req, &resp)
	if err != nil || !resp.Known {
		c.markRelayUnavailable(m.Addr)
		return topicwatch.Page{}, topicwatch.RelayFailed
	}
	return resp.Page, topicwatch.Relayed
}

// Read implements topicwatch.Source. It always returns all known records.
func (c *Client) Read(ctx context.Context, t topicwatch.Name, _ topicwatch.Position, _ time.Duration) (topicwatch.Page, error) {
	return c.List(ctx, t)
}
