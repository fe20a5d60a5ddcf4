package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const loopback = "127.0.0.1:0"

// Options describe a fleet.
type Options struct {
	Binaries Binaries
	// Dir takes settings files and logs.
	Dir string
	// DataCentres are the ids; instances are spread over them in turn.
	DataCentres []string
	Entries     int
	// Engines and Services are the numbers of upstreams, each with an agent.
	Engines  int
	Services int
	// Engine sets how the engines behave; Weights is set by Start.
	Engine standin.EngineOptions
	// ServiceDelay is the time of one call of a plain service.
	ServiceDelay time.Duration
	// LoadsPerS, Loads and Transfer describe the weight store.
	LoadsPerS float64
	MaxLoads     int
	Transfer  time.Duration
	LogLevel  string
	// DrainTimeoutS is the bound of a planned stop, in seconds.
	DrainTimeoutS int
}

// Pools of the fleet's upstreams.
const (
	PoolEngines  = "engines"
	PoolServices = "services"
)

// Fleet is a running fleet. The stand-ins run in this process.
type Fleet struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	Entries  []*Process
	Agents   []*Process

	options Options
	servers []server
	wg      sync.WaitGroup
	listed  []platform.Listed
}

type server interface {
	Run() error
	Shutdown(ctx context.Context) error
}

// Start starts the stand-ins and all processes.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform")
	}
	f.Platform = standin.NewPlatform(ln, standin.NewWeights(o.LoadsPerS, o.MaxLoads, o.Transfer))
	f.run(f.Platform)
	o.Engine.Weights = f.Platform.Weights
	for i := range o.Engines {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return f, errors.Wrap(err, "listen for an engine")
		}
		e := standin.NewEngine(ln, o.Engine)
		f.Engines = append(f.Engines, e)
		f.run(e)
		if err := f.startAgent(fmt.Sprintf("engine-%d", i), i, PoolEngines, e.Addr()); err != nil {
			return f, err
		}
	}
	for i := range o.Services {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return f, errors.Wrap(err, "listen for a service")
		}
		s := standin.NewService(ln, o.ServiceDelay)
		f.Services = append(f.Services, s)
		f.run(s)
		if err := f.startAgent(fmt.Sprintf("service-%d", i), i, PoolServices, s.Addr()); err != nil {
			return f, err
		}
	}
	for i := range o.Entries {
		if err := f.startEntry(fmt.Sprintf("entry-%d", i), i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// ListedInstances returns the instances of the platform list.
func (f *Fleet) ListedInstances() []platform.Listed { return slices.Clone(f.listed) }

func (f *Fleet) run(s server) {
	f.servers = append(f.servers, s)
	f.wg.Go(func() { _ = s.Run() })
}

func (f *Fleet) startAgent(name string, i int, pool, upstream string) error {
	p := &Process{Name: name}
	s := settings.Agent{Common: f.common(p, i), Pool: pool, UpstreamAddr: upstream}
	f.Agents = append(f.Agents, p)
	return f.launch(p, s, f.options.Binaries.Agent)
}

func (f *Fleet) startEntry(name string, i int) error {
	p := &Process{Name: name, CallerAddr: freeAddr()}
	s := settings.Entry{Common: f.common(p, i), CallerAddr: p.CallerAddr}
	f.Entries = append(f.Entries, p)
	return f.launch(p, s, f.options.Binaries.Entry, "run")
}

func (f *Fleet) common(p *Process, i int) settings.Common {
	p.PeerAddr, p.OperatorAddr = freeAddr(), freeAddr()
	dc := f.options.DataCentres[i%len(f.options.DataCentres)]
	// The platform may be encoding the former list, so that one is not changed.
	f.listed = append(slices.Clone(f.listed), platform.Listed{Instance: p.Name, Addr: p.PeerAddr, DataCentre: dc, State: platform.ListedLive})
	f.Platform.SetInstances(f.listed)
	addr := f.Platform.Addr()
	return settings.Common{
		Instance: p.Name, DataCentre: dc, PeerAddr: p.PeerAddr, OperatorAddr: p.OperatorAddr,
		Platform:      settings.Platform{LogAddr: addr, ListAddr: addr, WeightsAddr: addr},
		DrainTimeoutS: f.options.DrainTimeoutS, LogLevel: f.options.LogLevel,
	}
}

func (f *Fleet) launch(p *Process, s any, program string, args ...string) error {
	path := filepath.Join(f.options.Dir, p.Name+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	p.log = filepath.Join(f.options.Dir, p.Name+".log")
	p.args = append(append([]string{program}, args...), "--settings", path)
	return p.start()
}

// Close ends all processes and stand-ins.
func (f *Fleet) Close() {
	for _, p := range append(append([]*Process(nil), f.Entries...), f.Agents...) {
		if p.cmd != nil && p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Kill()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range f.servers {
		_ = s.Shutdown(ctx)
	}
	f.wg.Wait()
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	addr, err := standin.FreeAddr()
	if err != nil {
		panic(err)
	}
	return addr
}
