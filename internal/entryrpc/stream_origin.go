package entryrpc

import (
	"context"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/streamorigin"
)

// maxOriginCalls is how many instances are asked for the origin of one stream. What an instance
// that is not asked knows is in the store a moment later.
const maxOriginCalls = 8

var _ streamorigin.Peers = (*Client)(nil)

// AskOrigin implements streamorigin.Peers.
func (c *Client) AskOrigin(ctx context.Context, service, id string) (answers []streamorigin.Answer, alone bool) {
	v := c.view()
	if v == nil {
		return nil, false
	}
	others := c.otherEntries()
	others = others[:min(len(others), maxOriginCalls)]
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range others {
		calls.Go(func() {
			var a streamorigin.Answer
			if err := c.peers.Call(ctx, m.Addr, pathOrigin, originRequest{Service: service, Request: id}, &a); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	calls.Wait()
	return answers, v.EntryCount() <= 1
}
