package residency

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const viewBound = 3 * time.Second

// process is one incarnation of an agent, with its own reader of the control
// stream. Tests can pause it, kill it and disconnect it from the log.
type process struct {
	cluster *cluster
	join    record.MemberJoin
	manager *Manager
	ctx     context.Context
	cancel  context.CancelFunc

	mu           sync.Mutex
	view         *controlstate.View
	freshAsOf    time.Time
	resumed      chan struct{}
	killed       bool
	disconnected bool
	stepCounts   map[Step]int
}

func (p *process) View() *controlstate.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

func (p *process) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.freshAsOf)
}

func (p *process) MayWork() bool { return p.Age() <= viewBound }

// waitIfPaused blocks while the process is paused. If the process was killed, it
// ends the calling goroutine.
func (p *process) waitIfPaused() {
	p.mu.Lock()
	resumed, killed := p.resumed, p.killed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
		p.waitIfPaused()
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

// reachStep counts how often the process reaches each step and injects the faults
// that are due there.
func (p *process) reachStep(_ context.Context, s Step, _ string) {
	p.waitIfPaused()
	p.mu.Lock()
	p.stepCounts[s]++
	n := p.stepCounts[s]
	p.mu.Unlock()
	p.cluster.onStep(p, s, n)
	p.waitIfPaused()
}

// followLog applies the records of the log to the view. While reads fail, the age
// of the view grows.
func (p *process) followLog() {
	for p.ctx.Err() == nil {
		p.waitIfPaused()
		sent := time.Now()
		page, err := p.cluster.readLog(p, p.View().Offset)
		p.waitIfPaused()
		if err != nil {
			_ = sleep(p.ctx, 100*time.Millisecond)
			continue
		}
		p.applyPage(page, sent)
	}
}

func (p *process) applyPage(page backing.Page, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rec := range page.Records {
		p.view, _, _ = p.view.ApplyRecord(rec)
	}
	if page.End <= p.view.Offset {
		p.freshAsOf = sent
	}
}

// pausableOrders delays a read of the engine's state until a paused process resumes.
type pausableOrders struct {
	engine.CheckpointLoader
	process *process
}

func (o pausableOrders) MemoryState(ctx context.Context) (engine.MemoryState, error) {
	o.process.waitIfPaused()
	return o.CheckpointLoader.MemoryState(ctx)
}

// Slot implements SlotProvider with a short wait.
func (p *process) Slot(ctx context.Context, _ Load) (func(), error) {
	return func() {}, sleep(ctx, 5*time.Millisecond)
}

// Append implements RecordAppender.
func (p *process) Append(ctx context.Context, body record.Body) error {
	return p.cluster.append(ctx, body)
}
