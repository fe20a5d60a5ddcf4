package httpapi

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// InstanceList is the HTTP client of the instance list.
type InstanceList struct {
	addr    string
	timeout time.Duration
	client  *peer.Client
}

var _ backing.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the instance list at addr (IP:port).
// timeout bounds each call.
func NewInstanceList(addr string, timeout time.Duration) (*InstanceList, error) {
	c, err := peer.NewClient(timeout)
	if err != nil {
		return nil, err
	}
	return &InstanceList{addr: addr, timeout: timeout, client: c}, nil
}

// List implements backing.InstanceList.
func (l *InstanceList) List(ctx context.Context) ([]backing.ListedInstance, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	var resp ListResponse
	err := l.client.Call(ctx, l.addr, PathList, ListRequest{}, &resp)
	return resp.Instances, errors.Wrap(err, "read instance list")
}
