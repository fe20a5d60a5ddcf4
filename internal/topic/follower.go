package topic

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

// Follower keeps a view current. View may be called from any goroutine.
type Follower struct {
	source   Source
	fallback Source
	decoder  Decoder
	logger   *zap.Logger
	onChange func(*fleet.View)
	patient  bool

	view atomic.Pointer[fleet.View]

	mu sync.Mutex
	// topics are those that are followed.
	topics []Name
	states map[Name]*state
	// decoded caches records by topic and key, since most do not change.
	decoded map[Name]map[string]decodedItem
	config  *fleet.Config
}

type decodedItem struct {
	offset int64
	value  any
}

// Options of a follower.
type Options struct {
	Source Source
	// Fallback is asked while Source fails; it may be nil.
	Fallback Source
	Decoder  Decoder
	Logger   *zap.Logger
	// LongOperatorWait followers read what operators publish with long waits.
	LongOperatorWait bool
	// OnChange is called with each new view, one call at a time.
	OnChange func(*fleet.View)
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(o Options) *Follower {
	f := &Follower{
		source: o.Source, fallback: o.Fallback, decoder: o.Decoder, logger: o.Logger, onChange: o.OnChange, patient: o.LongOperatorWait,
		states: make(map[Name]*state), decoded: make(map[Name]map[string]decodedItem),
	}
	for _, t := range []Name{Operators, Upstreams, Members} {
		f.states[t] = newState()
		f.decoded[t] = make(map[string]decodedItem)
	}
	return f
}

// View returns the newest view, or nil before a configuration is known.
func (f *Follower) View() *fleet.View { return f.view.Load() }

// Run follows the topics until ctx ends. There is no view before each of them
// has been listed.
func (f *Follower) Run(ctx context.Context, topics ...Name) {
	f.mu.Lock()
	f.topics = topics
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range topics {
		wg.Go(func() { f.follow(ctx, t, f.paceOf(t)) })
	}
	wg.Wait()
}

func (f *Follower) paceOf(t Name) Pace {
	switch t {
	case Operators:
		if f.patient {
			return patientPace
		}
		return operatorPace
	case Upstreams:
		return upstreamPace
	default:
		return memberPace
	}
}

func (f *Follower) follow(ctx context.Context, t Name, pace Pace) {
	failing := false
	for ctx.Err() == nil {
		start := time.Now()
		wait := pace.Wait
		if failing {
			// A store that was silent never answers what was asked meanwhile. A read
			// that may wait would learn of that only after its whole wait.
			wait = 0
		}
		err := f.step(ctx, t, wait)
		pause := pace.Pause
		if err != nil && ctx.Err() == nil {
			if !failing {
				f.logger.Warn("topic cannot be read", zap.String("topic", string(t)), telemetry.Err(err))
			}
			f.askFallback(ctx, t)
			pause = retryPause
		} else if failing {
			f.logger.Info("topic can be read again", zap.String("topic", string(t)))
		}
		failing = err != nil
		sleep(ctx, pause-time.Since(start))
	}
}

// step lists or reads a topic once.
func (f *Follower) step(ctx context.Context, t Name, wait time.Duration) error {
	f.mu.Lock()
	next := f.states[t].next
	f.mu.Unlock()
	if next < 0 {
		page, err := f.source.List(ctx, t)
		if err != nil {
			return err
		}
		f.apply(t, page, true)
		return nil
	}
	page, err := f.source.Read(ctx, t, next, wait)
	if errors.Is(err, ErrExpired) {
		f.logger.Info("records of a topic have expired; listing it anew", zap.String("topic", string(t)), zap.Int64("from", next))
		page, err = f.source.List(ctx, t)
		if err == nil {
			f.apply(t, page, true)
		}
		return err
	}
	if err != nil {
		return err
	}
	f.apply(t, page, false)
	return nil
}

// askFallback applies what another instance knows beyond the own records.
func (f *Follower) askFallback(ctx context.Context, t Name) {
	if f.fallback == nil {
		return
	}
	page, err := f.fallback.List(ctx, t)
	if err != nil {
		f.logger.Debug("no other instance gave the topic", zap.String("topic", string(t)), telemetry.Err(err))
		return
	}
	f.mu.Lock()
	newer := page.Next > f.states[t].next
	f.mu.Unlock()
	if newer {
		f.apply(t, page, true)
	}
}

// Snapshot returns all records of a topic for another instance.
func (f *Follower) Snapshot(t Name) (Page, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[t]
	if !ok || s.next < 0 {
		return Page{}, false
	}
	page := Page{Next: s.next}
	for _, it := range s.items {
		page.Items = append(page.Items, it)
	}
	return page, true
}

func (f *Follower) apply(t Name, page Page, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s := f.states[t]
	first := s.next < 0
	s.answered(now)
	var changed bool
	if complete {
		changed = s.list(page, now)
	} else {
		changed = s.read(page, now)
	}
	changed = s.expire(now) || changed
	if changed || first {
		close(s.changed)
		s.changed = make(chan struct{})
		f.publish()
	}
}

// Fresh is how long after an answer of the store itself an instance answers
// other instances in its place: a little more than the pause between two reads
// of the list of upstreams.
const Fresh = 800 * time.Millisecond

// ReadLocal answers a read of another instance from the own records, as long as
// the store itself has answered this instance within Fresh.
func (f *Follower) ReadLocal(ctx context.Context, t Name, from int64, wait time.Duration) (Page, bool) {
	end := time.Now().Add(wait)
	for {
		f.mu.Lock()
		s, ok := f.states[t]
		if !ok || s.next < 0 || time.Since(s.direct) >= Fresh {
			f.mu.Unlock()
			return Page{}, false
		}
		page, known := s.since(from)
		changed, stale := s.changed, s.direct.Add(Fresh)
		f.mu.Unlock()
		now := time.Now()
		if !known || len(page.Items) > 0 || !now.Before(end) {
			return page, known
		}
		t := time.NewTimer(min(end.Sub(now), stale.Sub(now)))
		select {
		case <-ctx.Done():
			t.Stop()
			return Page{}, false
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// MarkStoreRead notes that the store itself answered a read of a topic.
func (f *Follower) MarkStoreRead(t Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[t]; ok {
		s.direct = time.Now()
	}
}

// publish builds a view from the records. The caller holds the lock.
func (f *Follower) publish() {
	v := &fleet.View{
		Upstreams: make(map[string]*fleet.Upstream), Evacuated: make(map[string]bool), Members: make(map[string]fleet.Member),
	}
	for key, it := range f.states[Operators].items {
		f.publishOperator(v, key, it)
	}
	for key, it := range f.states[Upstreams].items {
		if u, ok := cached(f, Upstreams, key, it, f.decoder.Upstream); ok {
			v.Upstreams[key] = u
		}
	}
	for key, it := range f.states[Members].items {
		if m, ok := cached(f, Members, key, it, f.decoder.Member); ok {
			v.Members[key] = m
		}
	}
	v.Config = f.config
	for _, t := range f.topics {
		if f.states[t].next < 0 {
			return
		}
	}
	if v.Config == nil {
		return
	}
	f.view.Store(v)
	if f.onChange != nil {
		f.onChange(v)
	}
}

type operatorRecord struct {
	config     *fleet.Config
	dataCentre string
}

func (f *Follower) publishOperator(v *fleet.View, key string, it Item) {
	r, ok := cached(f, Operators, key, it, func(it Item) (operatorRecord, error) {
		c, dc, err := f.decoder.Operator(it)
		return operatorRecord{c, dc}, err
	})
	if !ok {
		return
	}
	if r.dataCentre != "" {
		v.Evacuated[r.dataCentre] = true
	}
	// A version that is in force never goes back (H15).
	if r.config != nil && (f.config == nil || r.config.Version > f.config.Version) {
		f.config = r.config
		f.logger.Info("configuration in force", zap.Int64("version", r.config.Version), zap.Int("routes", len(r.config.Routes)))
	}
}

// cached decodes a record once. A record that cannot be decoded is logged once
// and skipped.
func cached[T any](f *Follower, t Name, key string, it Item, decode func(Item) (T, error)) (T, bool) {
	if d, ok := f.decoded[t][key]; ok && d.offset == it.Offset {
		v, ok := d.value.(T)
		return v, ok
	}
	v, err := decode(it)
	if err != nil {
		f.logger.Warn("record skipped", zap.String("topic", string(t)), zap.String("key", key), zap.Int64("offset", it.Offset), telemetry.Err(err))
		f.decoded[t][key] = decodedItem{offset: it.Offset}
		return v, false
	}
	f.decoded[t][key] = decodedItem{offset: it.Offset, value: v}
	return v, true
}

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
