package httpapi

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// WeightStore is the HTTP client of the weight store.
type WeightStore struct {
	addr   string
	client *peer.Client
}

var _ backing.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client of the weight store at addr (IP:port). timeout
// bounds each fetch, including its transfer.
func NewWeightStore(addr string, timeout time.Duration) (*WeightStore, error) {
	c, err := peer.NewClient(timeout)
	if err != nil {
		return nil, err
	}
	return &WeightStore{addr: addr, client: c}, nil
}

// Fetch implements backing.WeightStore.
func (w *WeightStore) Fetch(ctx context.Context, checkpoint, upstream string) error {
	var resp FetchResponse
	err := w.client.Call(ctx, w.addr, PathFetch, FetchRequest{Checkpoint: checkpoint, Upstream: upstream}, &resp)
	if err != nil {
		return errors.Wrapf(err, "fetch checkpoint %s", checkpoint)
	}
	if resp.Throttled {
		return backing.ErrThrottled
	}
	return nil
}
