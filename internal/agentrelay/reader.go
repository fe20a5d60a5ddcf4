package agentrelay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/agentclient"
	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// Timing of reads from relays.
const (
	// readWait is how long a relay may hold a call while nothing changes. Together with
	// readMargin and the interval of the agents' reports it is below the age at which a
	// pool stops using a report, so that the states survive the loss of a relay.
	readWait   = 800 * time.Millisecond
	readMargin = 350 * time.Millisecond
	// readInterval is the minimum time between the starts of two calls for a slice.
	readInterval = 300 * time.Millisecond
	// relayBackoff is how long a relay that did not answer is not asked.
	relayBackoff = 2 * time.Second
	// demandInterval is how often the demand is reported. It is most of a call, and changes
	// little in a second, since it decays with a half-life of several.
	demandInterval = time.Second
	// planInterval is how often the plan is worked out anew.
	planInterval = 250 * time.Millisecond
)

// Reader keeps the agents' states in the pool up to date, from relays or, with few
// agents, as the relay of this instance alone. It is safe for concurrent use.
type Reader struct {
	Options

	mu   sync.Mutex
	plan Plan
	// backoffUntil is when a relay may be asked again, by address.
	backoffUntil map[string]time.Time
}

// Options are the dependencies of a Reader.
type Options struct {
	Self       string
	DataCentre string
	Relay      *Relay
	Peers      Caller
	Pool       *upstream.Pool
	View       func() *fleet.View
	Logger     *zap.Logger
}

// Caller makes calls to other entry instances.
type Caller interface {
	Call(ctx context.Context, addr, path string, req, resp any) error
}

// NewReader returns a reader; Run starts it.
func NewReader(o Options) *Reader {
	return &Reader{Options: o, backoffUntil: make(map[string]time.Time)}
}

// Run reads states until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	slices := 0
	stop := func() {}
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		if n := r.updatePlan(); n != slices {
			stop()
			slices, stop = n, r.followSlices(ctx, n)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	stop()
}

// followSlices starts to read all slices and returns a function that stops it.
func (r *Reader) followSlices(ctx context.Context, slices int) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	for slice := range slices {
		go background.Run(ctx, r.Logger, "read agent states", func(ctx context.Context) { r.follow(ctx, sliceKey{slice, slices}) })
	}
	return cancel
}

// updatePlan works out the plan from the current view and returns its number of slices.
func (r *Reader) updatePlan() int {
	v := r.View()
	if v == nil {
		return 0
	}
	agents := r.Pool.Agents()
	plan := NewPlan(v, r.DataCentre, len(agents))
	r.mu.Lock()
	changed := plan.Slices != r.plan.Slices
	r.plan = plan
	r.mu.Unlock()
	if changed {
		r.Logger.Info("agents divided among relays", zap.Int("agents", len(agents)), zap.Int("slices", plan.Slices))
		if plan.Slices > 0 {
			r.Pool.SetFleetDemand(r)
		} else {
			r.Pool.SetFleetDemand(nil)
		}
	}
	watched := make(map[string]bool, len(agents))
	for _, a := range r.Relay.Watched(agents) {
		watched[a.UpstreamID] = true
	}
	r.Relay.Forget(func(id string) bool { return watched[id] })
	return plan.Slices
}

// Agents returns the agents that this instance watches itself.
func (r *Reader) Agents() []upstream.Agent {
	agents := r.Pool.Agents()
	r.mu.Lock()
	direct := r.plan.Slices == 0
	r.mu.Unlock()
	if direct {
		return agents
	}
	return r.Relay.Watched(agents)
}

// Divided implements agentclient.Plan.
func (r *Reader) Divided() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.Slices > 0
}

// Sink returns where the states of the watched agents go: to the pool while this
// instance watches all agents itself, and to the relay otherwise.
func (r *Reader) Sink() agentclient.Sink { return sink{r} }

type sink struct{ r *Reader }

func (s sink) target() agentclient.Sink {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	if s.r.plan.Slices == 0 {
		return s.r.Pool
	}
	return s.r.Relay
}

func (s sink) UpdateAgentState(upstreamID string, st *agentapi.State, at time.Time) {
	s.target().UpdateAgentState(upstreamID, st, at)
}

func (s sink) AgentUnreachable(upstreamID string, timedOut bool) {
	s.target().AgentUnreachable(upstreamID, timedOut)
}

func (s sink) Demand(upstreamID string) []agentapi.Demand { return s.target().Demand(upstreamID) }

// relayFor returns the instance to ask for a slice, this one if no other answers.
func (r *Reader) relayFor(slice int) fleet.Member {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.plan.Relay(slice, func(m fleet.Member) bool {
		return m.Name == r.Self || now.After(r.backoffUntil[m.Addr])
	})
	if !ok {
		return fleet.Member{Name: r.Self}
	}
	return m
}

func (r *Reader) markUnavailable(m fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[m.Addr] = time.Now().Add(relayBackoff)
}

// follow reads the states of a slice until ctx ends.
func (r *Reader) follow(ctx context.Context, key sliceKey) {
	c := cursor{known: make(map[string]*agentapi.State)}
	for ctx.Err() == nil {
		start := time.Now()
		m := r.relayFor(key.slice)
		c.selectRelay(m.Name)
		resp, err := r.read(ctx, m, key, &c)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.Logger.Warn("relay of agent states does not answer", zap.String("relay", m.Name), zap.Int("slice", key.slice), telemetry.Err(err))
			r.markUnavailable(m)
			continue
		}
		r.apply(&c, resp)
		sleep(ctx, readInterval-time.Since(start))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (r *Reader) read(ctx context.Context, m fleet.Member, key sliceKey, c *cursor) (statesResponse, error) {
	req := statesRequest{
		From: r.Self, Slice: key.slice, Slices: key.slices, Incarnation: c.incarnation, After: c.version,
		WaitMS: readWait.Milliseconds(), Usage: r.takeUsage(key),
	}
	if now := time.Now(); now.Sub(c.demandSentAt) >= demandInterval {
		req.HasDemand, req.Demand, c.demandSentAt = true, r.Pool.DemandByModel(), now
	}
	if m.Name == r.Self {
		return r.Relay.serve(ctx, req), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, readWait+readMargin)
	defer cancel()
	var resp statesResponse
	err := r.Peers.Call(callCtx, m.Addr, pathStates, req, &resp)
	return resp, err
}

// takeUsage returns this instance's use of the upstreams of a slice.
func (r *Reader) takeUsage(key sliceKey) map[string]map[string]agentapi.Usage {
	out := make(map[string]map[string]agentapi.Usage)
	for _, a := range r.Pool.Agents() {
		if SliceOf(a.UpstreamID, key.slices) != key.slice {
			continue
		}
		if u := r.Pool.TakeUsage(a.UpstreamID); u != nil {
			out[a.UpstreamID] = u
		}
	}
	return out
}

// apply passes the states of a response on to the pool.
func (r *Reader) apply(c *cursor, resp statesResponse) {
	now := time.Now()
	c.incarnation, c.version = resp.Incarnation, resp.Version
	confirmed := now.Add(-age(resp.ConfirmedMS))
	for id := range c.known {
		if _, changed := resp.States[id]; !changed {
			r.Pool.ConfirmAgentState(id, confirmed)
		}
	}
	for id, a := range resp.States {
		if a == nil || a.State == nil {
			delete(c.known, id)
			r.Pool.AgentUnreachable(id, a != nil && a.TimedOut)
			continue
		}
		last := c.known[id]
		if last == nil {
			last = &agentapi.State{}
		}
		if a.State.Holdings == nil {
			a.State.Holdings = last.Holdings
		}
		var err error
		if a.State.Cached, err = last.Cached.Apply(a.State.PromptParts, now); err != nil {
			r.Logger.Warn("report of cached prompt parts ignored", zap.String("upstream", id), zap.String("relay", c.relay), telemetry.Err(err))
		}
		c.known[id] = a.State
		r.Pool.UpdateAgentState(id, a.State, now.Add(-age(a.AgeMS)))
		r.Pool.ConfirmAgentState(id, confirmed)
	}
}

// maxAge is an age at which nothing uses a state any more.
const maxAge = time.Hour

// age returns an age in ms as a duration, from 0 to maxAge.
func age(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxAge.Milliseconds())) * time.Millisecond
}

// Turn implements upstream.FleetDemand.
func (r *Reader) Turn() (rank, deciders int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.Turn(r.Self)
}

// Demand implements upstream.FleetDemand: the demand of this data centre, which the
// instances report to its relays, times the share of all instances that it has.
func (r *Reader) Demand(model string, now time.Time) agentapi.ModelDemand {
	r.mu.Lock()
	scale := float64(r.plan.entries) / float64(max(1, r.plan.localEntries))
	r.mu.Unlock()
	d := r.Relay.sum(model, now)
	return agentapi.ModelDemand{Requests: scale * d.Requests, PrefillMS: scale * d.PrefillMS}
}

// cursor is how far a slice has been read.
type cursor struct {
	relay       string
	incarnation int64
	version     uint64
	// demandSentAt is when the demand was last sent to the relay.
	demandSentAt time.Time
	// known are the last states of the agents that answer.
	known map[string]*agentapi.State
}

// selectRelay starts from the beginning if the relay is another one.
func (c *cursor) selectRelay(name string) {
	if c.relay != name {
		*c = cursor{relay: name, known: c.known}
	}
}
