// Package dev runs the embedded default: stand-ins for the platform and two
// upstreams, two agents and an entry instance, all in one process on loopback.
package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/internal/node"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/platform/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const (
	loopback       = "127.0.0.1:0"
	engineMemory   = 16 << 10
	tokenInterval  = 32 * time.Millisecond
	storeLoadsPerS = 1.6
	storeLoads     = 4
	storeTransfer  = 300 * time.Millisecond
	startTimeout   = 15 * time.Second
	standInStop    = 200 * time.Millisecond
)

// Fleet is a running embedded default.
type Fleet struct {
	// CallerAddr is where callers reach the entry instance, IP:port.
	CallerAddr string
	// OperatorAddr serves metrics, health and the console, IP:port.
	OperatorAddr string
	// OperatorToken signs in at the console.
	OperatorToken string
	// LogAddr is the stand-in of the platform log, IP:port.
	LogAddr string
	// Key is a valid team key.
	Key string
	// Model is a model that the key's team may use.
	Model string

	// nodes are the instances; they stop before the stand-ins, because leaving
	// the fleet needs the log.
	nodes      *errgroup.Group
	standIns   *errgroup.Group
	stopStands context.CancelFunc
}

// Start starts everything and returns when a request can be served. The fleet
// stops when ctx ends.
func Start(ctx context.Context, logger *zap.Logger) (*Fleet, error) {
	standCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{Key: demoKey, OperatorToken: demoToken, Model: demoModel, nodes: &errgroup.Group{}, standIns: &errgroup.Group{}, stopStands: stop}
	platformAddr, err := f.startPlatform(standCtx)
	if err != nil {
		return nil, err
	}
	f.LogAddr = platformAddr
	if err := f.startAgents(ctx, standCtx, platformAddr, logger); err != nil {
		return nil, err
	}
	if err := f.startEntry(ctx, platformAddr, logger); err != nil {
		return nil, err
	}
	if err := f.provision(ctx, platformAddr); err != nil {
		return f, err
	}
	return f, f.waitServing(ctx)
}

// servingPoll is the time between two tries of a starting fleet.
const servingPoll = 100 * time.Millisecond

// waitServing waits until a request is served. An instance joins before its
// team's budget can be spent and the model is loaded, which takes some seconds,
// and until then every request is refused.
func (f *Fleet) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := f.SendRequest(ctx, io.Discard)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "no request was served in time")
		case <-time.After(servingPoll):
		}
	}
}

// Wait returns when the fleet has stopped.
func (f *Fleet) Wait() error {
	err := f.nodes.Wait()
	f.stopStands()
	_ = f.standIns.Wait()
	return err
}

// server is a stand-in.
type server interface {
	Run() error
	Shutdown(ctx context.Context) error
}

func (f *Fleet) serve(ctx context.Context, s server) {
	f.standIns.Go(s.Run)
	f.standIns.Go(func() error {
		<-ctx.Done()
		ended, cancel := context.WithTimeout(context.Background(), standInStop)
		defer cancel()
		return s.Shutdown(ended)
	})
}

func (f *Fleet) startPlatform(ctx context.Context) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for the platform stand-in")
	}
	p := standin.NewPlatform(ln, standin.NewWeights(storeLoadsPerS, storeLoads, storeTransfer))
	f.serve(ctx, p)
	return p.Addr(), nil
}

func (f *Fleet) startAgents(ctx, standCtx context.Context, platformAddr string, logger *zap.Logger) error {
	weights, err := httpapi.NewWeights(platformAddr, time.Minute)
	if err != nil {
		return err
	}
	for i := range demoAgents {
		name := fmt.Sprintf("agent-%d", i+1)
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return errors.Wrap(err, "listen for the engine stand-in")
		}
		e := standin.NewEngine(ln, standin.EngineOptions{
			MemoryMiB: engineMemory, TokenInterval: tokenInterval, Weights: weights, ChecksFencing: true,
		})
		f.serve(standCtx, e)
		s := settings.Agent{Common: common(name, platformAddr), Pool: demoPool, UpstreamAddr: e.Addr()}
		if s.PeerAddr, s.OperatorAddr, err = twoAddrs(); err != nil {
			return err
		}
		f.nodes.Go(func() error { return node.RunAgent(ctx, s, logger.With(zap.String("instance", name))) })
	}
	return nil
}

func (f *Fleet) startEntry(ctx context.Context, platformAddr string, logger *zap.Logger) error {
	s := settings.Entry{Common: common("entry-1", platformAddr), OperatorToken: demoToken}
	var err error
	if s.PeerAddr, s.OperatorAddr, err = twoAddrs(); err != nil {
		return err
	}
	if s.CallerAddr, err = standin.FreeAddr(); err != nil {
		return err
	}
	f.CallerAddr, f.OperatorAddr = s.CallerAddr, s.OperatorAddr
	f.nodes.Go(func() error { return node.RunEntry(ctx, s, logger.With(zap.String("instance", "entry-1"))) })
	return nil
}

func common(instance, platformAddr string) settings.Common {
	return settings.Common{
		Instance: instance, DataCentre: demoDataCentre, DrainTimeoutS: 5, LogLevel: "info",
		Platform: settings.Platform{LogAddr: platformAddr, ListAddr: platformAddr, WeightsAddr: platformAddr},
	}
}

// provision publishes the demonstration configuration. The planner of the entry
// instance then places its models.
func (f *Fleet) provision(ctx context.Context, platformAddr string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	log, err := httpapi.NewLog(platformAddr, time.Second)
	if err != nil {
		return err
	}
	c := operator.NewStreamClient(log, operator.ClientSettings{Name: "dev"})
	if err := c.Refresh(ctx); err != nil {
		return err
	}
	_, _, err = c.Append(ctx, demoConfig())
	return err
}

func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func twoAddrs() (first, second string, err error) {
	if first, err = standin.FreeAddr(); err != nil {
		return "", "", err
	}
	second, err = standin.FreeAddr()
	return first, second, err
}
