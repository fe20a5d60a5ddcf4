package httpapi

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// List is the HTTP client of the instance list.
type List struct {
	addr    string
	timeout time.Duration
	client  *peer.Client
}

var _ platform.InstanceList = (*List)(nil)

// NewList returns a client of the list at addr (IP:port); calls are bounded by timeout.
func NewList(addr string, timeout time.Duration) (*List, error) {
	c, err := peer.NewClient(timeout)
	if err != nil {
		return nil, err
	}
	return &List{addr: addr, timeout: timeout, client: c}, nil
}

// List implements platform.InstanceList.
func (l *List) List(ctx context.Context) ([]platform.Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	var resp ListResponse
	err := l.client.Call(ctx, l.addr, PathList, ListRequest{}, &resp)
	return resp.Instances, errors.Wrap(err, "read instance list")
}
