package topicwatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// Follower keeps a fleet.View up to date with the topics that it reads. It is safe
// for concurrent use.
type Follower struct {
	source           Source
	fallback         Source
	decoder          Decoder
	logger           *zap.Logger
	onChange         func(*fleet.View)
	onRecords        func(t Name, items []Item, isNew bool)
	onEra            func(era int64)
	onInvalid        func(t Name)
	operatorSchedule PollSchedule
	memberSchedule   PollSchedule

	view atomic.Pointer[fleet.View]

	mu sync.Mutex
	// topics are the topics passed to Run.
	topics []Name
	states map[Name]*state
	// decoded caches decoded records by topic and key, since most do not change
	// between two views.
	decoded map[Name]map[string]decodedItem
	config  *fleet.Config
	// era is the newest of any topic; -1 before the first answer.
	era int64
}

// Options configure a Follower.
type Options struct {
	Source Source
	// Fallback is listed while Source fails; it may be nil.
	Fallback Source
	Decoder  Decoder
	Logger   *zap.Logger
	// ApplyTime is within which time of its confirmation a change of the operators must be in
	// force; 0 stands for defaultApplyTime. With LongOperatorWait, long polls of the operators
	// topic wait longer than that, to save calls.
	ApplyTime        time.Duration
	LongOperatorWait bool
	// QuotaWindow is within which time all instances must learn of a new one; 0 for no limit.
	QuotaWindow time.Duration
	// OnChange is called with each new view, one call at a time.
	OnChange func(*fleet.View)
	// OnEra is called when the store's era is first known and each time it has risen; it may
	// be nil, and must not block.
	OnEra func(era int64)
	// OnInvalid is called for each record that cannot be decoded; it may be nil.
	OnInvalid func(t Name)
	// OnRecords is called with the records of each answer for a topic that is no part of the
	// view, one call at a time; it may be nil. The first answer may have none. isNew tells
	// that they were written after those of the last answer.
	OnRecords func(t Name, items []Item, isNew bool)
}

// NewFollower returns a follower without records; Run reads them.
func NewFollower(o Options) *Follower {
	f := &Follower{
		source: o.Source, fallback: o.Fallback, decoder: o.Decoder, logger: o.Logger, onChange: o.OnChange, onRecords: o.OnRecords, onEra: o.OnEra, onInvalid: o.OnInvalid, operatorSchedule: operatorSchedule(o.ApplyTime, o.LongOperatorWait), memberSchedule: memberSchedule(o.QuotaWindow),
		era: -1, states: make(map[Name]*state), decoded: make(map[Name]map[string]decodedItem),
	}
	for _, t := range []Name{Operators, Upstreams, Members, Crashes} {
		f.states[t] = newState(t)
		f.decoded[t] = make(map[string]decodedItem)
	}
	return f
}

// View returns the newest view, or nil until a configuration is known and every
// topic of the view has been listed once.
func (f *Follower) View() *fleet.View { return f.view.Load() }

// Run reads the topics until ctx ends. It publishes no view before it has listed
// each of them that is part of it.
func (f *Follower) Run(ctx context.Context, topics ...Name) {
	f.mu.Lock()
	f.topics = topics
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range topics {
		wg.Go(func() { f.follow(ctx, t, f.scheduleOf(t)) })
	}
	wg.Wait()
}

func (f *Follower) scheduleOf(t Name) PollSchedule {
	switch t {
	case Operators:
		return f.operatorSchedule
	case Upstreams:
		return upstreamSchedule
	case Crashes:
		return crashSchedule
	default:
		return f.memberSchedule
	}
}

func (f *Follower) follow(ctx context.Context, t Name, schedule PollSchedule) {
	failing := false
	var retry time.Duration
	for ctx.Err() == nil {
		start := time.Now()
		wait := schedule.MaxWait
		if failing {
			// A store that hangs never answers the calls that it received meanwhile,
			// even after it recovers. A long poll would notice that only after its
			// whole wait, so reads return at once until one succeeds.
			wait = 0
		}
		err := f.poll(ctx, t, wait)
		interval := schedule.Interval
		if err != nil && ctx.Err() == nil {
			if !failing {
				f.logger.Warn("topic read failed", zap.String("topic", string(t)), telemetry.Err(err))
			}
			f.readFallback(ctx, t)
			retry = min(maxRetryInterval, max(minRetryInterval, 2*retry))
			interval = retry
		} else if failing {
			f.logger.Info("topic read recovered", zap.String("topic", string(t)))
		}
		if failing = err != nil; !failing {
			retry = 0
		}
		sleep(ctx, interval-time.Since(start))
	}
}

// poll lists a topic that is not known yet, and otherwise reads its new records.
func (f *Follower) poll(ctx context.Context, t Name, wait time.Duration) error {
	from, _ := f.position(t)
	if from.Offset < 0 || f.relistDue(t) {
		return f.list(ctx, t)
	}
	page, err := f.source.Read(ctx, t, from, wait)
	switch {
	case errors.Is(err, ErrExpired):
		f.logger.Info("topic records have expired, listing the topic again", zap.String("topic", string(t)), zap.Int64("from", from.Offset))
		return f.list(ctx, t)
	case err != nil:
		return err
	case page.Era != from.Era:
		// The records at these offsets are others than those that follow the known ones.
		return f.list(ctx, t)
	}
	f.apply(t, page.inOwnEra(), sourceRecords)
	return nil
}

// Refresh reads a topic from source and returns once the view has what source had at some time after
// the call. The topic must have been listed before.
func (f *Follower) Refresh(ctx context.Context, source Source, t Name) error {
	from, _ := f.position(t)
	if from.Offset < 0 {
		return errors.New("the topic has not been listed yet")
	}
	page, err := source.Read(ctx, t, from, 0)
	switch {
	case errors.Is(err, ErrExpired) || err == nil && page.Era != from.Era:
		return f.listFrom(ctx, source, t)
	case err != nil:
		return err
	}
	f.apply(t, page.inOwnEra(), sourceRecords)
	return nil
}

// errOldList is the error of a list that is older than the known records.
var errOldList = errors.New("the list is older than the known records")

// list reads and applies all records of a topic.
func (f *Follower) list(ctx context.Context, t Name) error { return f.listFrom(ctx, f.source, t) }

func (f *Follower) listFrom(ctx context.Context, source Source, t Name) error {
	page, err := source.List(ctx, t)
	if err != nil {
		return err
	}
	known, _ := f.position(t)
	// A store that names no era has come back from a copy if its log is shorter.
	if page.end().before(known) && page.Era+known.Era > 0 {
		return errOldList
	}
	f.apply(t, page.inOwnEra(), sourceList)
	return nil
}

// position returns where the next read of a topic starts, and its newest era.
func (f *Follower) position(t Name) (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[t]
	if !ok {
		return Position{}, false
	}
	return s.position(), true
}

// relistDue reports whether a topic has to be listed again some time after a restore.
func (f *Follower) relistDue(t Name) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[t].relistDue(time.Now())
}

// readFallback applies the records of another instance if they are newer than the
// follower's own.
func (f *Follower) readFallback(ctx context.Context, t Name) {
	if f.fallback == nil {
		return
	}
	page, err := f.fallback.List(ctx, t)
	if err != nil {
		f.logger.Debug("topic read from fallback failed", zap.String("topic", string(t)), telemetry.Err(err))
		return
	}
	if known, _ := f.position(t); known.before(page.end()) {
		f.apply(t, page, fallbackList)
	}
}

// Snapshot returns all records of a topic, for another instance. It returns false
// if the topic has not been listed yet.
func (f *Follower) Snapshot(t Name) (Page, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[t]
	if !ok || s.next < 0 {
		return Page{}, false
	}
	page := Page{Next: s.next, Era: s.era}
	for _, it := range s.items {
		page.Items = append(page.Items, it)
	}
	return page, true
}

// answerKind is what an answer contains and where it comes from.
type answerKind int

const (
	// sourceList is a complete list, and sourceRecords new records, of the source.
	sourceList answerKind = iota
	sourceRecords
	// fallbackList is a complete list of another instance, while the source fails.
	fallbackList
)

func (f *Follower) apply(t Name, page Page, kind answerKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s := f.states[t]
	first := s.next < 0
	if kind != fallbackList {
		s.noteAnswer(now)
	}
	supersedes := func(listed, known Item) bool { return f.supersedes(t, listed, known) }
	var changed bool
	switch {
	case kind == sourceRecords && page.Era == s.era:
		changed = s.applyRecords(page, now)
	case kind == sourceRecords:
		return // the era has changed since the read began
	case !first && (page.Era > s.era || kind == sourceList && page.end().before(s.position())):
		f.logger.Warn("store came back from a copy", zap.String("topic", string(t)), zap.Int64("era", page.Era), zap.Int64("era_before", s.era),
			zap.Int64("next", page.Next), zap.Int64("next_before", s.next))
		changed = s.restore(page, now, supersedes)
	default:
		changed = s.replaceAll(page, now, supersedes)
	}
	if page.Era > f.era {
		if f.era = page.Era; f.onEra != nil {
			f.onEra(page.Era)
		}
	}
	changed = s.removeDue(now) || changed
	if changed || first {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	switch {
	case !inView(t):
		if f.onRecords != nil && (first || len(page.Items) > 0) {
			f.onRecords(t, page.Items, kind == sourceRecords)
		}
	case changed || first:
		f.publishView()
	}
}

// supersedes reports whether a record that the store listed after it had come back from a copy
// was written later than the known one, which the copy does not have.
func (f *Follower) supersedes(t Name, listed, known Item) bool {
	switch t {
	case Operators:
		a, _, errA := f.decoder.Operator(listed)
		b, _, errB := f.decoder.Operator(known)
		return errA == nil && errB == nil && a != nil && b != nil && a.Version > b.Version
	case Upstreams:
		a, errA := f.decoder.Upstream(listed)
		b, errB := f.decoder.Upstream(known)
		// An upstream that leaves does not stay after all.
		return errA == nil && (errB != nil || a.StartedAtMS > b.StartedAtMS || a.StartedAtMS == b.StartedAtMS && a.Draining)
	default:
		return false
	}
}

// inView reports whether the records of a topic are part of the view.
func inView(t Name) bool { return t != Crashes }

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
