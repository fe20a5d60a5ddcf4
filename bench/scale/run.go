package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Options configure one run.
type Options struct {
	Fleet fleet.Options
	// Adapters is the number of configured adapters. It determines the view's size.
	Adapters int
	// FakeMembers is the number of members that do not exist; see addFakeMembers.
	FakeMembers int
	// IdleDuration is how long the idle fleet is measured.
	IdleDuration time.Duration
	// Changes is the number of configuration changes whose propagation is measured.
	Changes int
}

// Result holds the measurements of one run.
type Result struct {
	Instances int
	Adapters  int
	// JoinTime is the time from the start until every process may accept work and
	// knows all members.
	JoinTime time.Duration
	// CPU is the CPU time per process, in ms per second.
	CPU distribution
	// Bytes is the traffic per process, in bytes per second in both directions,
	// including calls to the platform.
	Bytes distribution
	// Calls is the number of RPCs per process and second, in both directions.
	Calls distribution
	// RSS is the resident memory per process, in MiB.
	RSS distribution
	// LogReads and LogAppends count operations of the platform log per second.
	LogReads   float64
	LogAppends float64
	// Propagation is the time from the publication of a change until it is in force,
	// in ms, over all changes and processes.
	Propagation distribution
}

const (
	joinTimeout        = 3 * time.Minute
	propagationTimeout = 10 * time.Second
	// settleTime is the pause between the joins and the idle measurement.
	settleTime = 8 * time.Second
)

// Run starts the fleet, measures it and stops it.
func Run(ctx context.Context, o Options) (Result, error) {
	start := time.Now()
	f, err := fleet.Start(o.Fleet)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return Result{}, err
	}
	m := &measurement{fleet: f, options: o, processes: append(append([]*fleet.Process(nil), f.Entries...), f.Agents...)}
	if err := m.provision(ctx); err != nil {
		return Result{}, err
	}
	if err := m.waitAll(ctx, joinTimeout, func(s processStatus) bool { return s.MayWork && s.Members == len(m.processes) }); err != nil {
		return Result{}, errors.Wrap(err, "wait for members to join")
	}
	r := Result{Instances: len(m.processes), Adapters: o.Adapters, JoinTime: time.Since(start)}
	if err := m.addFakeMembers(ctx); err != nil {
		return r, err
	}
	time.Sleep(settleTime)
	if err := m.measureIdle(&r); err != nil {
		return r, err
	}
	return r, m.measurePropagation(ctx, &r)
}

// measurement is one run in progress.
type measurement struct {
	fleet     *fleet.Fleet
	options   Options
	processes []*fleet.Process
	op        *fleet.Operator
}

// provision publishes the document before Run waits for the members, so that the
// fleet starts with an existing configuration.
func (m *measurement) provision(ctx context.Context) error {
	var err error
	if m.op, err = m.fleet.NewOperator(); err != nil {
		return err
	}
	_, err = m.op.PublishDocument(ctx, document(m.options), "scale measurement")
	return err
}

func document(o Options) config.Document {
	d := config.Document{
		Teams:       map[string]config.Team{"blue": {RateTokensPerS: 1e6, BurstTokens: 1e7}},
		DataCentres: map[string]config.DataCentre{},
		Pools:       map[string]config.Pool{fleet.PoolEngines: {Kind: config.PoolEngine, MemoryMiB: 1 << 20}},
		Models:      map[string]config.Model{},
		Adapters:    map[string]config.Adapter{},
	}
	for i, dc := range o.Fleet.DataCentres {
		d.DataCentres[dc] = config.DataCentre{Region: fmt.Sprintf("region-%d", i%2)}
	}
	const adaptersPerModel = 68
	for i := range o.Adapters {
		model := fmt.Sprintf("model-%d", i/adaptersPerModel)
		d.Models[model] = config.Model{Pool: fleet.PoolEngines, MemoryMiB: 1024}
		d.Adapters[fmt.Sprintf("adapter-%d", i)] = config.Adapter{Model: model, MemoryMiB: 16}
	}
	return d
}

// waitAll polls every process until done returns true for its status.
func (m *measurement) waitAll(ctx context.Context, bound time.Duration, done func(processStatus) bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	var g errgroup.Group
	for _, p := range m.processes {
		g.Go(func() error { return waitFor(ctx, p, done) })
	}
	return g.Wait()
}

func waitFor(ctx context.Context, p *fleet.Process, done func(processStatus) bool) error {
	const pollInterval = 100 * time.Millisecond
	for {
		s, err := getStatus(p)
		if err == nil && done(s) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s: %v, last status %+v", p.Name, ctx.Err(), s)
		case <-time.After(pollInterval):
		}
	}
}

// measureIdle measures what each process uses over IdleDuration.
func (m *measurement) measureIdle(r *Result) error {
	before, err := m.readAllCounters()
	if err != nil {
		return err
	}
	appendsBefore, readsBefore := m.fleet.Platform.Log.Counts()
	time.Sleep(m.options.IdleDuration)
	after, err := m.readAllCounters()
	if err != nil {
		return err
	}
	appendsAfter, readsAfter := m.fleet.Platform.Log.Counts()
	seconds := m.options.IdleDuration.Seconds()
	r.LogAppends = float64(appendsAfter-appendsBefore) / seconds
	r.LogReads = float64(readsAfter-readsBefore) / seconds
	var cpu, bytes, calls, rss []float64
	for i, p := range m.processes {
		cpu = append(cpu, float64((after[i].cpu-before[i].cpu).Microseconds())/1000/seconds)
		bytes = append(bytes, (after[i].bytes-before[i].bytes)/seconds)
		calls = append(calls, (after[i].calls-before[i].calls)/seconds)
		resident, err := p.RSS()
		if err != nil {
			return err
		}
		rss = append(rss, float64(resident)/(1<<20))
	}
	r.CPU, r.Bytes, r.Calls, r.RSS = newDistribution(cpu), newDistribution(bytes), newDistribution(calls), newDistribution(rss)
	return nil
}

func (m *measurement) readAllCounters() ([]counters, error) {
	out := make([]counters, len(m.processes))
	for i, p := range m.processes {
		c, err := readCounters(p)
		if err != nil {
			return nil, err
		}
		out[i] = c
	}
	return out, nil
}

// measurePropagation publishes changes one by one. From each process it reads
// since when the change has been in force there.
func (m *measurement) measurePropagation(ctx context.Context, r *Result) error {
	var times []float64
	for i := range m.options.Changes {
		change := record.EntryChange{Section: record.SectionTeams, ID: fmt.Sprintf("team-%d", i)}
		var err error
		if change.Value, err = teamValue(); err != nil {
			return err
		}
		if err := m.op.Stream.Refresh(ctx); err != nil {
			return err
		}
		publishedAt := time.Now()
		publication, err := m.op.Publish(ctx, m.op.View().ConfigVersion, []record.EntryChange{change}, "scale measurement", "scale")
		if err != nil {
			return err
		}
		inForce := func(s processStatus) bool { return s.ConfigVersion >= publication.Version }
		if err := m.waitAll(ctx, propagationTimeout, inForce); err != nil {
			return errors.Wrap(err, "wait for change to be in force")
		}
		for _, process := range m.processes {
			s, err := getStatus(process)
			if err != nil {
				return err
			}
			times = append(times, float64(s.ConfigSinceUnixMS-publishedAt.UnixMilli()))
		}
	}
	r.Propagation = newDistribution(times)
	return nil
}
