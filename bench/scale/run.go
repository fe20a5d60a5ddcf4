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

// Options describe one run.
type Options struct {
	Fleet fleet.Options
	// Adapters is the number of configured adapters, which sets the size of the view.
	Adapters int
	// FakeMembers is the number of members that do not run; see addPhantoms.
	FakeMembers int
	// IdleDuration is how long the idle fleet is watched.
	IdleDuration time.Duration
	// Changes is the number of changes whose time to force is measured.
	Changes int
}

// Result is what one run measured.
type Result struct {
	Instances int
	Adapters  int
	// JoinTime is the time until every process may work.
	JoinTime time.Duration
	// CPU is the processor time per process in ms a second.
	CPU spread
	// Bytes is the traffic between processes per process in bytes a second,
	// both directions, calls to the platform included.
	Bytes spread
	// Calls is the number of messages per process a second, both directions.
	Calls spread
	// RSS is the resident memory per process in MiB.
	RSS spread
	// LogReads and LogAppends are the load of the platform log a second.
	LogReads   float64
	LogAppends float64
	// Propagation is the time from the publication to force, in ms, over all changes
	// and processes.
	Propagation spread
}

const (
	joinTimeout  = 3 * time.Minute
	forceTimeout = 10 * time.Second
	settleTime   = 8 * time.Second
)

// Run starts the fleet, measures it and ends it.
func Run(ctx context.Context, o Options) (Result, error) {
	start := time.Now()
	f, err := fleet.Start(o.Fleet)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return Result{}, err
	}
	m := &measurement{fleet: f, options: o, all: append(append([]*fleet.Process(nil), f.Entries...), f.Agents...)}
	if err := m.provision(ctx); err != nil {
		return Result{}, err
	}
	if err := m.waitAll(ctx, joinTimeout, func(s state) bool { return s.MayWork && s.Members == len(m.all) }); err != nil {
		return Result{}, errors.Wrap(err, "join")
	}
	r := Result{Instances: len(m.all), Adapters: o.Adapters, JoinTime: time.Since(start)}
	if err := m.addPhantoms(ctx); err != nil {
		return r, err
	}
	time.Sleep(settleTime)
	if err := m.idle(&r); err != nil {
		return r, err
	}
	return r, m.force(ctx, &r)
}

// measurement is one run in progress.
type measurement struct {
	fleet   *fleet.Fleet
	options Options
	all     []*fleet.Process
	op      *fleet.Operator
}

// provision publishes the document before the members are asked for, as a
// fleet that starts under an existing configuration finds it.
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

// waitAll polls every process until done holds for all.
func (m *measurement) waitAll(ctx context.Context, bound time.Duration, done func(state) bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	var g errgroup.Group
	for _, p := range m.all {
		g.Go(func() error { return waitFor(ctx, p, done) })
	}
	return g.Wait()
}

func waitFor(ctx context.Context, p *fleet.Process, done func(state) bool) error {
	const poll = 100 * time.Millisecond
	for {
		s, err := status(p)
		if err == nil && done(s) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s: %v, last status %+v", p.Name, ctx.Err(), s)
		case <-time.After(poll):
		}
	}
}

func (m *measurement) idle(r *Result) error {
	before, err := m.counters()
	if err != nil {
		return err
	}
	appends, reads := m.fleet.Platform.Log.Counts()
	time.Sleep(m.options.IdleDuration)
	after, err := m.counters()
	if err != nil {
		return err
	}
	appendsAfter, readsAfter := m.fleet.Platform.Log.Counts()
	seconds := m.options.IdleDuration.Seconds()
	r.LogAppends = float64(appendsAfter-appends) / seconds
	r.LogReads = float64(readsAfter-reads) / seconds
	var cpu, bytes, calls, rss []float64
	for i, p := range m.all {
		cpu = append(cpu, float64((after[i].cpu-before[i].cpu).Microseconds())/1000/seconds)
		bytes = append(bytes, (after[i].bytes-before[i].bytes)/seconds)
		calls = append(calls, (after[i].calls-before[i].calls)/seconds)
		resident, err := p.RSS()
		if err != nil {
			return err
		}
		rss = append(rss, float64(resident)/(1<<20))
	}
	r.CPU, r.Bytes, r.Calls, r.RSS = spreadOf(cpu), spreadOf(bytes), spreadOf(calls), spreadOf(rss)
	return nil
}

func (m *measurement) counters() ([]counters, error) {
	out := make([]counters, len(m.all))
	for i, p := range m.all {
		c, err := read(p)
		if err != nil {
			return nil, err
		}
		out[i] = c
	}
	return out, nil
}

// force publishes changes one by one and reads from each process since when it
// obeys them.
func (m *measurement) force(ctx context.Context, r *Result) error {
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
		published := time.Now()
		p, err := m.op.Publish(ctx, m.op.View().ConfigVersion, []record.EntryChange{change}, "scale measurement", "scale")
		if err != nil {
			return err
		}
		obeys := func(s state) bool { return s.ConfigVersion >= p.Version }
		if err := m.waitAll(ctx, forceTimeout, obeys); err != nil {
			return errors.Wrap(err, "change in force")
		}
		for _, process := range m.all {
			s, err := status(process)
			if err != nil {
				return err
			}
			times = append(times, float64(s.ConfigSinceUnixMS-published.UnixMilli()))
		}
	}
	r.Propagation = spreadOf(times)
	return nil
}
