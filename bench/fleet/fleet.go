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

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const loopback = "127.0.0.1:0"

// Options describe a fleet.
type Options struct {
	Binaries Binaries
	// Dir is where settings files and logs are written.
	Dir string
	// DataCentres are ids. Instances are assigned to them round-robin.
	DataCentres []string
	// Entries is the number of entry instances.
	Entries int
	// Engines and Services are the numbers of model engines and plain services.
	// Each of these upstreams has an agent.
	Engines  int
	Services int
	// Engine configures all engines. Start sets its Weights.
	Engine standin.EngineOptions
	// ServiceDelay is how long a plain service takes for one call.
	ServiceDelay time.Duration
	// LoadsPerS limits how many fetches the weight store starts a second, MaxLoads
	// limits how many it runs concurrently, and FetchTime is how long each takes.
	LoadsPerS float64
	MaxLoads  int
	FetchTime time.Duration
	LogLevel  string
	// DrainTimeoutS is how long a graceful stop may take, in seconds.
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
	listed  []backing.ListedInstance
}

type server interface {
	Run() error
	Shutdown(ctx context.Context) error
}

// Start starts the stand-ins and all processes. On an error it returns the part
// of the fleet that was started, if any, for the caller to close.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for platform")
	}
	f.Platform = standin.NewPlatform(ln, standin.NewWeightStore(o.LoadsPerS, o.MaxLoads, o.FetchTime))
	f.run(f.Platform)
	o.Engine.Weights = f.Platform.Weights
	for i := range o.Engines {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return f, errors.Wrap(err, "listen for engine")
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
			return f, errors.Wrap(err, "listen for service")
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

// ListedInstances returns the instances in the platform's list.
func (f *Fleet) ListedInstances() []backing.ListedInstance { return slices.Clone(f.listed) }

func (f *Fleet) run(s server) {
	f.servers = append(f.servers, s)
	f.wg.Go(func() { _ = s.Run() })
}

func (f *Fleet) startAgent(name string, i int, pool, upstream string) error {
	p := &Process{Name: name}
	s := settings.Agent{Common: f.commonSettings(p, i), Pool: pool, UpstreamAddr: upstream}
	f.Agents = append(f.Agents, p)
	return f.launch(p, s, f.options.Binaries.Agent)
}

func (f *Fleet) startEntry(name string, i int) error {
	p := &Process{Name: name, CallerAddr: freeAddr()}
	s := settings.Entry{Common: f.commonSettings(p, i), CallerAddr: p.CallerAddr}
	f.Entries = append(f.Entries, p)
	return f.launch(p, s, f.options.Binaries.Entry, "run")
}

// commonSettings chooses the addresses of p, adds p to the platform's list and
// returns the settings that both programs share.
func (f *Fleet) commonSettings(p *Process, i int) settings.Common {
	p.PeerAddr, p.OperatorAddr = freeAddr(), freeAddr()
	dc := f.options.DataCentres[i%len(f.options.DataCentres)]
	// Clone the list: the platform may be encoding the previous one.
	f.listed = append(slices.Clone(f.listed), backing.ListedInstance{Instance: p.Name, Addr: p.PeerAddr, DataCentre: dc, State: backing.InstanceLive})
	f.Platform.SetInstances(f.listed)
	addr := f.Platform.Addr()
	return settings.Common{
		Instance: p.Name, DataCentre: dc, PeerAddr: p.PeerAddr, OperatorAddr: p.OperatorAddr,
		Platform:      settings.Platform{LogAddr: addr, ListAddr: addr, WeightsAddr: addr},
		DrainTimeoutS: f.options.DrainTimeoutS, LogLevel: f.options.LogLevel,
	}
}

// launch writes the settings file of p and starts its program.
func (f *Fleet) launch(p *Process, s any, program string, args ...string) error {
	path := filepath.Join(f.options.Dir, p.Name+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	p.logPath = filepath.Join(f.options.Dir, p.Name+".log")
	p.args = append(append([]string{program}, args...), "--settings", path)
	return p.start()
}

// Close kills all processes and stops the stand-ins.
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
