package standin

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/backing/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

const (
	platformMaxBody      = 16 << 20
	platformWriteTimeout = 10 * time.Second
)

// Platform serves a Log, an instance list and a weight store over HTTP.
type Platform struct {
	Log     *Log
	Weights *WeightStore

	mu        sync.Mutex
	instances []backing.ListedInstance
	server    *server.Hertz
	addr      string
}

// NewPlatform returns a platform that listens on ln.
func NewPlatform(ln net.Listener, weights *WeightStore) *Platform {
	p := &Platform{Log: NewLog(), Weights: weights, addr: ln.Addr().String()}
	p.server = peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: platformMaxBody, WriteTimeout: platformWriteTimeout})
	peer.Handle(p.server.Engine, httpapi.PathAppend, p.handleAppend)
	peer.Handle(p.server.Engine, httpapi.PathRead, p.handleRead)
	peer.Handle(p.server.Engine, httpapi.PathList, p.handleList)
	peer.Handle(p.server.Engine, httpapi.PathFetch, p.handleFetch)
	return p
}

// Addr returns the listen address, IP:port.
func (p *Platform) Addr() string { return p.addr }

// Run serves until Shutdown is called.
func (p *Platform) Run() error { return p.server.Run() }

// Shutdown stops the server.
func (p *Platform) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list []backing.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

func (p *Platform) handleAppend(ctx context.Context, r httpapi.AppendRequest) (httpapi.AppendResponse, error) {
	first, err := p.Log.Append(ctx, r.Stream, r.Entries)
	if err != nil {
		return httpapi.AppendResponse{}, errkind.Wrap(errkind.LogUnavailable, "the log is unavailable", err)
	}
	return httpapi.AppendResponse{First: first}, nil
}

func (p *Platform) handleRead(ctx context.Context, r httpapi.ReadRequest) (httpapi.ReadResponse, error) {
	page, err := p.Log.Read(ctx, r.Stream, r.After, r.Limit, time.Duration(r.WaitMS)*time.Millisecond)
	var expired *backing.ExpiredError
	if errors.As(err, &expired) {
		return httpapi.ReadResponse{Page: page, Expired: true}, nil
	}
	if err != nil {
		return httpapi.ReadResponse{}, errkind.Wrap(errkind.LogUnavailable, "the log is unavailable", err)
	}
	return httpapi.ReadResponse{Page: page}, nil
}

func (p *Platform) handleList(context.Context, httpapi.ListRequest) (httpapi.ListResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return httpapi.ListResponse{Instances: p.instances}, nil
}

func (p *Platform) handleFetch(ctx context.Context, r httpapi.FetchRequest) (httpapi.FetchResponse, error) {
	err := p.Weights.Fetch(ctx, r.Checkpoint, r.Upstream)
	if errors.Is(err, backing.ErrThrottled) {
		return httpapi.FetchResponse{Throttled: true}, nil
	}
	return httpapi.FetchResponse{}, err
}
