package member

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Member maintains this instance's membership and watches other members.
type Member struct {
	cfg     Config
	mu      sync.Mutex
	leaving bool
	// joined is set once the join of the current incarnation has been applied,
	// or may have been. If the incarnation is then missing from the view, it
	// must not be used again. Only the join loop uses this field.
	joined bool
	wg     sync.WaitGroup
}

// New returns a member. Call Start to run it.
func New(cfg Config) *Member {
	if cfg.NewIncarnation == nil {
		cfg.NewIncarnation = NewIncarnation
	}
	return &Member{cfg: cfg}
}

// Start joins the fleet and watches other members in the background until ctx
// is done.
func (m *Member) Start(ctx context.Context) {
	d := newFailureDetector(m.cfg)
	m.wg.Go(func() { m.joinLoop(ctx) })
	m.wg.Go(func() { d.run(ctx) })
}

// Wait blocks until the goroutines of Start have ended.
func (m *Member) Wait() { m.wg.Wait() }

// Live reports whether the current incarnation is in the view.
func (m *Member) Live() bool {
	own, ok := m.cfg.Replica.View().Members.Get(m.cfg.Self.Instance)
	return ok && own.Incarnation == m.cfg.Self.Incarnation()
}

// Drain makes the instance refuse new work (H14).
func (m *Member) Drain() { m.cfg.Replica.Drain() }

// Leave removes the current incarnation from the fleet after a drain. Without
// Leave, the fleet removes it only after a timeout.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	_, _, err := m.cfg.Replica.Append(ctx, record.MemberGone{
		Instance:    m.cfg.Self.Instance,
		Incarnation: m.cfg.Self.Incarnation(),
		Reason:      record.GoneDrained,
	})
	return err
}

func (m *Member) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// joinLoop keeps one incarnation of this instance in the view. It backs off
// between joins because two processes with the same instance id would otherwise
// replace each other continuously (F3).
func (m *Member) joinLoop(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.MaxInterval = maxRejoinDelay
	delays.RandomizationFactor = 0
	var joinedAt time.Time
	for ctx.Err() == nil && !m.isLeaving() {
		changed := m.cfg.Replica.Changed()
		if m.Live() {
			m.joined = true
			wait(ctx, CheckInterval, changed)
			continue
		}
		if m.joined {
			m.renewIncarnation()
			if time.Since(joinedAt) <= 2*maxRejoinDelay {
				// Another process with this instance id may have joined.
				wait(ctx, m.jitter(delays.NextBackOff()), nil)
				continue
			}
			delays.Reset()
		}
		if m.cfg.Replica.MayDecide() && m.join(ctx) {
			joinedAt = time.Now()
			continue
		}
		wait(ctx, m.jitter(delays.NextBackOff()), nil)
	}
}

// renewIncarnation switches to a new incarnation after the fleet has removed
// the current one.
func (m *Member) renewIncarnation() {
	m.cfg.Self.SetIncarnation(m.cfg.NewIncarnation())
	m.joined = false
}

// join appends a join record and reports whether it was applied. If the outcome
// is unknown, the incarnation is not used again: the join may have been applied
// and the incarnation removed before this instance saw it in the view, and a
// second join would then revive a removed incarnation.
func (m *Member) join(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	verdict, _, err := m.cfg.Replica.Append(ctx, record.MemberJoin{
		Instance:    m.cfg.Self.Instance,
		Incarnation: m.cfg.Self.Incarnation(),
		Role:        m.cfg.Role,
		DataCentre:  m.cfg.Self.DataCentre,
		PeerAddr:    m.cfg.PeerAddr,
		Pool:        m.cfg.Pool,
	})
	if err != nil {
		m.joined = !errkind.Is(err, errkind.LogUnavailable)
		return false
	}
	m.joined = verdict.Applied
	return verdict.Applied
}

func (m *Member) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.cfg.Rand.Int64N(int64(d)))
}

func wait(ctx context.Context, d time.Duration, ch <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-ch:
	}
}

// sameMember reports whether the view still has this incarnation of m.
func sameMember(v *controlstate.View, m controlstate.Member) bool {
	now, ok := v.Members.Get(m.Instance)
	return ok && now.Incarnation == m.Incarnation
}
