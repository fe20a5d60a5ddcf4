package residency

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const viewBound = 3 * time.Second

// process is one incarnation of an agent with its follower of the log. It can
// be paused, killed and cut off from the log.
type process struct {
	w       *world
	join    record.MemberJoin
	account *Account
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	view    *fold.View
	fresh   time.Time
	resumed chan struct{}
	killed  bool
	cut     bool
	hits    map[Step]int
}

func (p *process) View() *fold.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

func (p *process) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.fresh)
}

func (p *process) MayWork() bool { return p.Age() <= viewBound }

// gate blocks while the process is paused and ends the goroutine of a killed one.
func (p *process) gate() {
	p.mu.Lock()
	resumed, killed := p.resumed, p.killed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
		p.gate()
	}
	if killed {
		runtime.Goexit()
	}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		return
	}
	resumed := make(chan struct{})
	p.resumed = resumed
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.resumed = nil
		close(resumed)
	})
}

func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.cancel()
}

// step counts the steps passed and injects the faults due there.
func (p *process) step(_ context.Context, s Step, _ string) {
	p.gate()
	p.mu.Lock()
	p.hits[s]++
	n := p.hits[s]
	p.mu.Unlock()
	p.w.reach(p, s, n)
	p.gate()
}

// follow folds the log; a failed read leaves the age growing.
func (p *process) follow() {
	for p.ctx.Err() == nil {
		p.gate()
		sent := time.Now()
		page, err := p.w.read(p, p.View().Offset)
		p.gate()
		if err != nil {
			_ = sleep(p.ctx, 100*time.Millisecond)
			continue
		}
		p.apply(page, sent)
	}
}

func (p *process) apply(page platform.Page, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rec := range page.Records {
		p.view, _, _ = p.view.ApplyRecord(rec)
	}
	if page.End <= p.view.Offset {
		p.fresh = sent
	}
}

// gated lets a paused process read its engine only after it is resumed.
type gated struct {
	engine.CheckpointLoader
	p *process
}

func (g gated) MemoryState(ctx context.Context) (engine.MemoryState, error) {
	g.p.gate()
	return g.CheckpointLoader.MemoryState(ctx)
}

// Slot implements Slots with a short wait.
func (p *process) Slot(ctx context.Context, _ Load) (func(), error) {
	return func() {}, sleep(ctx, 5*time.Millisecond)
}

// Append implements Reports.
func (p *process) Append(ctx context.Context, body record.Body) error {
	return p.w.append(ctx, body)
}
