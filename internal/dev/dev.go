// Package dev runs a demonstration fleet in one process on loopback: an entry
// instance, two agents, and stand-ins for the platform and for two engines.
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

	"github.com/jacinthbend/jacinthbend/internal/backing/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/node"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	loopback           = "127.0.0.1:0"
	engineMemoryMiB    = 16 << 10
	tokenInterval      = 32 * time.Millisecond
	storeLoadsPerS     = 1.6
	storeLoads         = 4
	storeTransferTime  = 300 * time.Millisecond
	provisionTimeout   = time.Minute
	standInStopTimeout = 200 * time.Millisecond
)

// Fleet is a running demonstration fleet.
type Fleet struct {
	// CallerAddr is the address of the entry instance for callers, IP:port.
	CallerAddr string
	// OperatorAddr serves metrics, health and the console, IP:port.
	OperatorAddr string
	// OperatorToken signs in at the console.
	OperatorToken string
	// LogAddr is the address of the platform log stand-in, IP:port.
	LogAddr string
	// Key is a valid team key.
	Key string
	// Model is a model that the key's team may use.
	Model string

	// nodes runs the entry instance and the agents. They stop before the
	// stand-ins, because an instance that leaves the fleet appends to the log.
	nodes        *errgroup.Group
	standIns     *errgroup.Group
	stopStandIns context.CancelFunc
}

// Start starts the fleet and returns once it has served a request. The fleet
// stops when ctx ends.
func Start(ctx context.Context, logger *zap.Logger) (*Fleet, error) {
	standInCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{Key: demoKey, OperatorToken: demoOperatorToken, Model: demoModel, standIns: &errgroup.Group{}, stopStandIns: stop}
	var nodesCtx context.Context
	f.nodes, nodesCtx = errgroup.WithContext(ctx)
	platformAddr, err := f.startPlatform(standInCtx)
	if err != nil {
		return nil, err
	}
	f.LogAddr = platformAddr
	if err := f.startAgents(ctx, standInCtx, platformAddr, logger); err != nil {
		return nil, err
	}
	if err := f.startEntry(ctx, platformAddr, logger); err != nil {
		return nil, err
	}
	if err := f.provision(ctx, platformAddr); err != nil {
		return f, err
	}
	return f, f.waitUntilServing(nodesCtx, slowStart, logger)
}

const (
	// servingPollInterval is the interval of the test requests to a starting fleet.
	servingPollInterval = 100 * time.Millisecond
	// slowStart is the interval of the warnings that the fleet has not served a request yet.
	slowStart = 15 * time.Second
)

// waitUntilServing sends requests until one succeeds, or ctx ends because an instance has
// failed. The entry instance refuses every request until it can spend the team's budget
// and the model is loaded, which takes some seconds after the instance has joined, and
// longer on a busy machine.
func (f *Fleet) waitUntilServing(ctx context.Context, warnEvery time.Duration, logger *zap.Logger) error {
	start := time.Now()
	warned := start
	for {
		err := f.sendRequest(ctx, probeKey, io.Discard)
		if err == nil {
			return nil
		}
		if time.Since(warned) >= warnEvery {
			warned = time.Now()
			logger.Warn("no request has been served yet, still waiting", zap.Duration("since_start", time.Since(start)), telemetry.Err(err))
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(context.Cause(ctx), "stopped before a request was served (%v)", err)
		case <-time.After(servingPollInterval):
		}
	}
}

// Wait waits for the fleet to stop and returns the first error of an instance.
func (f *Fleet) Wait() error {
	err := f.nodes.Wait()
	f.stopStandIns()
	_ = f.standIns.Wait()
	return err
}

// standInServer is a stand-in that listens on its own address.
type standInServer interface {
	Run() error
	Shutdown(ctx context.Context) error
}

func (f *Fleet) serveStandIn(ctx context.Context, s standInServer) {
	f.standIns.Go(s.Run)
	f.standIns.Go(func() error {
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
		defer cancel()
		return s.Shutdown(stopCtx)
	})
}

func (f *Fleet) startPlatform(ctx context.Context) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for the platform stand-in")
	}
	p := standin.NewPlatform(ln, standin.NewWeightStore(storeLoadsPerS, storeLoads, storeTransferTime))
	f.serveStandIn(ctx, p)
	return p.Addr(), nil
}

func (f *Fleet) startAgents(ctx, standInCtx context.Context, platformAddr string, logger *zap.Logger) error {
	weights, err := httpapi.NewWeightStore(platformAddr, time.Minute)
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
			MemoryMiB: engineMemoryMiB, TokenInterval: tokenInterval, Weights: weights, ChecksFencing: true,
		})
		f.serveStandIn(standInCtx, e)
		s := settings.Agent{Common: common(name, platformAddr), Pool: demoPool, UpstreamAddr: e.Addr()}
		if s.PeerAddr, s.OperatorAddr, err = freeAddrPair(); err != nil {
			return err
		}
		f.nodes.Go(func() error { return node.RunAgent(ctx, s, logger.With(zap.String("instance", name))) })
	}
	return nil
}

func (f *Fleet) startEntry(ctx context.Context, platformAddr string, logger *zap.Logger) error {
	s := settings.Entry{Common: common("entry-1", platformAddr), OperatorToken: demoOperatorToken}
	var err error
	if s.PeerAddr, s.OperatorAddr, err = freeAddrPair(); err != nil {
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
// instance then assigns its models to engines.
func (f *Fleet) provision(ctx context.Context, platformAddr string) error {
	ctx, cancel := context.WithTimeout(ctx, provisionTimeout)
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

func freeAddrPair() (first, second string, err error) {
	if first, err = standin.FreeAddr(); err != nil {
		return "", "", err
	}
	second, err = standin.FreeAddr()
	return first, second, err
}
