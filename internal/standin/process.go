package standin

import (
	"context"
	"sync/atomic"
	"time"
)

// Process is the outside of one simulated process: whether it lives, runs and
// can be reached. It is safe for concurrent use. Times are those of package
// time, so a Process works in virtual time.
type Process struct {
	life   atomic.Pointer[lifetime]
	dead   atomic.Bool
	paused atomic.Int64
	silent atomic.Int64
	noLog  atomic.Int64
}

type lifetime struct {
	ctx  context.Context
	kill context.CancelFunc
}

// NewProcess returns a process that lives until ctx is done or it is killed.
func NewProcess(ctx context.Context) *Process {
	p := &Process{}
	p.Restart(ctx)
	return p
}

// Context is done when the present life of the process ends.
func (p *Process) Context() context.Context { return p.life.Load().ctx }

// Kill ends the process (F1): from now on nothing that it does has an effect.
func (p *Process) Kill() {
	p.dead.Store(true)
	p.life.Load().kill()
}

// Restart starts the process anew after a Kill.
func (p *Process) Restart(ctx context.Context) {
	ctx, kill := context.WithCancel(ctx)
	p.life.Store(&lifetime{ctx: ctx, kill: kill})
	p.dead.Store(false)
}

// Dead reports whether the process was killed.
func (p *Process) Dead() bool { return p.dead.Load() }

// Pause stops the process for d (F8); messages to it wait.
func (p *Process) Pause(d time.Duration) { p.paused.Store(until(d)) }

// Blackhole makes the connections of the process hang for d (F11).
func (p *Process) Blackhole(d time.Duration) { p.silent.Store(until(d)) }

// BlockLog keeps the log from the process for d (F6 for one reader).
func (p *Process) BlockLog(d time.Duration) { p.noLog.Store(until(d)) }

// WaitWhilePaused blocks while the process is paused.
func (p *Process) WaitWhilePaused() {
	for lasts(&p.paused) {
		time.Sleep(time.Duration(p.paused.Load() - time.Now().UnixNano()))
	}
}

func until(d time.Duration) int64 { return time.Now().Add(d).UnixNano() }

func lasts(t *atomic.Int64) bool { return time.Now().UnixNano() < t.Load() }
