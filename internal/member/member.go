package member

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Member is one instance's part in the membership.
type Member struct {
	cfg  Config
	mu   sync.Mutex
	left bool
	// joined tells that the present incarnation has been admitted, or may have
	// been, so that its absence from the view means that it must not be used
	// again. It belongs to the join loop.
	joined bool
	wg     sync.WaitGroup
}

// New returns a member that has not started.
func New(cfg Config) *Member {
	if cfg.NewIncarnation == nil {
		cfg.NewIncarnation = NewIncarnation
	}
	return &Member{cfg: cfg}
}

// Start joins and watches until ctx is done.
func (m *Member) Start(ctx context.Context) {
	w := newWatcher(m.cfg)
	m.wg.Go(func() { m.joinLoop(ctx) })
	m.wg.Go(func() { w.run(ctx) })
}

// Wait returns when everything started has ended.
func (m *Member) Wait() { m.wg.Wait() }

// Live reports whether the present incarnation is in the view.
func (m *Member) Live() bool {
	own, ok := m.cfg.Replica.View().Members.Get(m.cfg.Self.Instance)
	return ok && own.Incarnation == m.cfg.Self.Incarnation()
}

// Drain makes the instance refuse new work (H14).
func (m *Member) Drain() { m.cfg.Replica.Drain() }

// Leave ends the own incarnation after a drain. Without it the fleet finds out
// by silence.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	_, _, err := m.cfg.Replica.Append(ctx, record.MemberGone{
		Instance:    m.cfg.Self.Instance,
		Incarnation: m.cfg.Self.Incarnation(),
		Reason:      record.GoneDrained,
	})
	return err
}

func (m *Member) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left
}

// joinLoop keeps one incarnation of this instance in the view. The pause
// between joins grows, because two processes under one instance id would
// otherwise end each other without limit (F3).
func (m *Member) joinLoop(ctx context.Context) {
	pauses := backoff.NewExponentialBackOff()
	pauses.MaxInterval = rejoinPauseMax
	pauses.RandomizationFactor = 0
	var joinedAt time.Time
	for ctx.Err() == nil && !m.hasLeft() {
		changed := m.cfg.Replica.Changed()
		if m.Live() {
			m.joined = true
			wait(ctx, CheckInterval, changed)
			continue
		}
		if m.joined {
			m.renew()
			if time.Since(joinedAt) > 2*rejoinPauseMax {
				pauses.Reset()
			}
		}
		if m.cfg.Replica.MayDecide() && m.join(ctx) {
			joinedAt = time.Now()
			continue
		}
		wait(ctx, m.spread(pauses.NextBackOff()), nil)
	}
}

// renew draws a new incarnation after the fleet has ended the present one.
func (m *Member) renew() {
	m.cfg.Self.SetIncarnation(m.cfg.NewIncarnation())
	m.joined = false
}

// join reports whether the incarnation was admitted. After an unknown outcome
// the incarnation is not used again: its record may take effect and be ended
// unseen, and another join would then bring an ended incarnation back.
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

func (m *Member) spread(d time.Duration) time.Duration {
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

// sameMember reports whether the view still has this very incarnation.
func sameMember(v *fold.View, m fold.Member) bool {
	now, ok := v.Members.Get(m.Instance)
	return ok && now.Incarnation == m.Incarnation
}
