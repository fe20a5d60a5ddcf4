package witness

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// Timing of a Reporter.
const (
	// reportInterval is the time between two records while tokens are spent. At the rate of a team,
	// a tenth of a step is spent in this time. With 100 ms, reports would cost an instance twice as
	// much processor time.
	reportInterval = 200 * time.Millisecond
	// urgentInterval is that time while requests wait for the next record.
	urgentInterval = 25 * time.Millisecond
	// heartbeatInterval is the longest time between two records. The age of a lease at the end of an
	// instance is up to twice as long.
	heartbeatInterval = 500 * time.Millisecond
	// bytesPerInterval stretches reportInterval for long records: it limits an instance to 3 x 20 KB/s.
	bytesPerInterval = 4 << 10
	// writeTimeout ends a call to a witness. A witness has at most one call of an instance at a time.
	writeTimeout = 250 * time.Millisecond
	// silenceLimit is the time without a confirmation after which requests no longer wait for one.
	silenceLimit = 300 * time.Millisecond
	// excludeAfter is how long the calls to a witness fail until another is chosen, and excludeFor
	// until it may be chosen again.
	excludeAfter = time.Second
	excludeFor   = 30 * time.Second
)

// Source is what a Reporter reports.
type Source interface {
	// Usage returns what has been spent, as the content of the record with this sequence.
	Usage(sequence uint64) Quota
	// Witnessed tells that a record is confirmed that was made at madeAt. It reports whether the
	// source stays within one step of it for Lease from then on.
	Witnessed(sequence uint64, madeAt time.Duration) bool
	// NotWitnessed tells that the witnesses do not answer at present.
	NotWitnessed()
	// Superseded tells that a later start of this instance is running.
	Superseded()
	// UsageDue receives a value when something was spent, or is to be.
	UsageDue() <-chan struct{}
	// UsageWanted reports whether requests wait for a record.
	UsageWanted() bool
}

// ReporterOptions are the dependencies of a Reporter.
type ReporterOptions struct {
	Instance  string
	Transport Transport
	Clock     Clock
	Source    Source
	// Members returns the known members; nil if none are known yet.
	Members func() map[string]fleet.Member
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Reporter sends the records of this start to its witnesses. It is safe for concurrent use.
type Reporter struct {
	ReporterOptions
	start         uint64
	usageChanged  chan struct{}
	confirmations *metrics.Counter
	failures      *metrics.Counter

	mu       sync.Mutex
	usage    json.RawMessage
	covers   []uint64
	sequence uint64
	// confirmed is the newest confirmed record, and lease the marks that show when it was made.
	// current are the sets of witnesses at which a record may be whose lease has not ended, until
	// leaseEnd.
	confirmed uint64
	lease     map[string]Mark
	current   [][]string
	leaseEnd  time.Duration
	// answeredAt is when a witness last took a record.
	answeredAt time.Duration
	// unconfirmedSince is when the first record was made after the newest confirmed one, 0 if there
	// is none.
	unconfirmedSince time.Duration
	// leaseSent tells that a record with lease has been sent.
	leaseSent  bool
	silent     bool
	superseded bool
	lastSize   int
	calls      map[string]*callState
}

// callState is what is known of the calls to one witness.
type callState struct {
	// addr is its last known address. A set is replaced only after a majority of it has taken a record
	// that names the new one, also if they are no longer in the list.
	addr          string
	running       bool
	failingSince  time.Duration
	excludedUntil time.Duration
}

// round is a record on its way to the witnesses.
type round struct {
	record Record
	next   []string
	madeAt time.Duration
	marks  map[string]Mark
}

// NewReporter returns a reporter of a new start of the instance.
func NewReporter(o ReporterOptions) *Reporter {
	r := &Reporter{
		ReporterOptions: o, start: rand.Uint64()>>11 + 1, usageChanged: make(chan struct{}, 1), calls: make(map[string]*callState),
		confirmations: o.Metrics.NewCounter(`jacinthbend_witness_records_total{result="confirmed"}`),
		failures:      o.Metrics.NewCounter(`jacinthbend_witness_calls_failed_total`),
	}
	o.Metrics.NewGauge("jacinthbend_witness_lease_seconds", r.leaseLeft)
	return r
}

// Resume asks the witnesses for the records of earlier starts, which had ended when this one began, on
// Clock. It must be called before Run.
func (r *Reporter) Resume(ctx context.Context, began time.Duration) Earlier {
	members := r.Members()
	if members == nil {
		return Earlier{Reason: reasonNoMembers}
	}
	if len(Candidates(r.Instance, members)) == 0 {
		return Earlier{Reason: reasonNoAgents, NoWitnesses: true}
	}
	found := find(ctx, r.Instance, members, r.Transport, r.Clock, began)
	if !found.Known && !found.Complete {
		// A machine that has just started may be slow, and ages count from the start.
		found = find(ctx, r.Instance, members, r.Transport, r.Clock, began)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.covers = found.Starts
	if end := began + Lease; r.Clock() < end {
		r.current, r.leaseEnd = found.Sets, end
	}
	return found
}

// Start returns the random number of this start.
func (r *Reporter) Start() uint64 { return r.start }

// SetUsage sets the usage section of the records to come. Quota goes first: a section that does not
// fit beside it is left out.
func (r *Reporter) SetUsage(usage json.RawMessage) {
	r.mu.Lock()
	r.usage = usage
	r.mu.Unlock()
	select {
	case r.usageChanged <- struct{}{}:
	default:
	}
}

// Run reports until ctx ends or a later start of the instance is found.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil && !r.isSuperseded() {
		r.report(ctx)
		r.waitNext(ctx)
	}
}

func (r *Reporter) isSuperseded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.superseded
}

// leaseLeft returns how long the current lease lasts, in seconds.
func (r *Reporter) leaseLeft() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmed == 0 {
		return 0
	}
	return max(0, r.leaseEnd-r.Clock()).Seconds()
}

// leaseUnsent reports whether no record tells yet that one of this start was confirmed, so that a
// start could not use it.
func (r *Reporter) leaseUnsent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease != nil && !r.leaseSent
}

// waitNext waits until the next record is due.
func (r *Reporter) waitNext(ctx context.Context) {
	began, changed := time.Now(), false
	r.mu.Lock()
	usual := reportInterval * time.Duration(1+r.lastSize/bytesPerInterval)
	r.mu.Unlock()
	for {
		pause := heartbeatInterval
		switch {
		case r.Source.UsageWanted() || r.leaseUnsent():
			pause = urgentInterval
		case changed:
			pause = min(usual, heartbeatInterval)
		}
		left := pause - time.Since(began)
		if left <= 0 {
			return
		}
		t := time.NewTimer(left)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-r.Source.UsageDue():
			changed = true
		case <-r.usageChanged:
			changed = true
		case <-t.C:
		}
		t.Stop()
	}
}

// report makes a record and sends it to its witnesses.
func (r *Reporter) report(ctx context.Context) {
	members := r.Members()
	if members == nil {
		return
	}
	rd, addrs := r.makeRound(members)
	if rd == nil {
		return
	}
	for name, addr := range addrs {
		background.Go(r.Logger, "report to a witness", func() { r.send(ctx, rd, name, addr) })
	}
}

// makeRound returns the next record and the addresses of its witnesses, nil if there are none.
func (r *Reporter) makeRound(members map[string]fleet.Member) (*round, map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	if r.leaseEnd > 0 && now > r.leaseEnd {
		r.Logger.Warn("no witness has confirmed the quota usage in time; the next start will not know it exactly", zap.Uint64("confirmed", r.confirmed))
		r.current, r.lease, r.leaseEnd, r.leaseSent = nil, nil, 0, false
	}
	if r.unconfirmedSince > 0 && now-r.unconfirmedSince > silenceLimit && !r.silent {
		r.silent = true
		r.Source.NotWitnessed()
	}
	var next []string
	for _, m := range Choose(r.Instance, members, func(name string) bool { c := r.calls[name]; return c != nil && now < c.excludedUntil }) {
		next = append(next, m.Name)
	}
	sets := addSet(slices.Clone(r.current), next)
	if len(sets) == 0 {
		return nil, nil
	}
	rd := &round{next: next, madeAt: now, marks: make(map[string]Mark)}
	r.sequence++
	quota, err := json.Marshal(r.Source.Usage(r.sequence))
	if err != nil || len(quota) > MaxRecordBytes {
		r.Logger.Error("cannot report the quota usage", zap.Int("bytes", len(quota)), telemetry.Err(err))
		return nil, nil
	}
	r.lastSize, r.leaseSent = len(quota), r.lease != nil
	rd.record = Record{Instance: r.Instance, Start: r.start, Sequence: r.sequence, Sets: sets, Covers: r.covers, Lease: r.lease, Quota: quota}
	if len(quota)+len(r.usage) <= MaxRecordBytes {
		rd.record.Usage = r.usage
		r.lastSize += len(r.usage)
	}
	if r.unconfirmedSince == 0 {
		r.unconfirmedSince = now
	}
	addrs := make(map[string]string)
	for _, set := range sets {
		for _, name := range set {
			if r.calls[name] == nil {
				r.calls[name] = &callState{}
			}
			c := r.calls[name]
			if m, known := members[name]; known {
				c.addr = m.Addr
			}
			if c.addr != "" && addrs[name] == "" && !c.running {
				c.running, addrs[name] = true, c.addr
			}
		}
	}
	return rd, addrs
}

// send sends a record to one witness.
func (r *Reporter) send(ctx context.Context, rd *round, name, addr string) {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	resp, err := r.Transport.Write(callCtx, addr, rd.record)
	r.mu.Lock()
	defer r.mu.Unlock()
	now, c := r.Clock(), r.calls[name]
	c.running = false
	if err != nil {
		r.failures.Inc()
		if c.failingSince == 0 {
			c.failingSince = now
		}
		// If none answers, this instance is cut off, and a start would look for its records at the first
		// candidates.
		if now-c.failingSince > excludeAfter && now > c.excludedUntil && now-r.answeredAt < excludeAfter {
			c.excludedUntil = now + excludeFor
			r.Logger.Warn("a witness of the quota usage does not answer, another is chosen", zap.String("witness", name), telemetry.Err(err))
		}
		return
	}
	c.failingSince, r.answeredAt = 0, now
	if resp.Superseded {
		if !r.superseded {
			r.superseded = true
			r.Logger.Error("a later start of this instance is running; this one gives out no tokens of its own")
			r.Source.Superseded()
		}
		return
	}
	// The witness read its clock before its answer arrived, so the record was made after this mark.
	rd.marks[name] = Mark{Epoch: resp.Clock.Epoch, AtMS: (resp.Clock.At() - (now - rd.madeAt)).Milliseconds() - 1}
	r.confirm(rd, name)
}

// confirm adopts a record that a majority of each of its sets has taken. The caller holds the lock.
func (r *Reporter) confirm(rd *round, name string) {
	if rd.record.Sequence == r.confirmed && r.lease != nil {
		r.lease = withMark(r.lease, name, rd.marks[name])
		return
	}
	has := func(name string) bool { _, ok := rd.marks[name]; return ok }
	if rd.record.Sequence <= r.confirmed || !hasMajorities(rd.record.Sets, has) || !r.Source.Witnessed(rd.record.Sequence, rd.madeAt) {
		return
	}
	r.confirmed, r.leaseEnd, r.lease = rd.record.Sequence, rd.madeAt+Lease, nil
	for witness, mark := range rd.marks {
		r.lease = withMark(r.lease, witness, mark)
	}
	r.current = addSet(nil, rd.next)
	if r.current == nil {
		r.current = rd.record.Sets
	}
	r.unconfirmedSince, r.silent = 0, false
	r.confirmations.Inc()
}

// withMark returns a copy of marks with one more. Records that are on their way share marks.
func withMark(marks map[string]Mark, name string, m Mark) map[string]Mark {
	out := make(map[string]Mark, len(marks)+1)
	for k, v := range marks {
		out[k] = v
	}
	out[name] = m
	return out
}
