package standin

import (
	"context"
	"sync/atomic"
	"time"
)

// Process is the state of one simulated process as others see it: whether it is
// alive, paused or reachable. It is safe for concurrent use. It uses package time,
// so it also works in the virtual time of a synctest bubble.
type Process struct {
	current         atomic.Pointer[lifetime]
	dead            atomic.Bool
	pausedUntil     atomic.Int64
	blackholedUntil atomic.Int64
	logBlockedUntil atomic.Int64
}

type lifetime struct {
	ctx  context.Context
	kill context.CancelFunc
}

// NewProcess returns a process that runs until ctx is done or Kill is called.
func NewProcess(ctx context.Context) *Process {
	p := &Process{}
	p.Restart(ctx)
	return p
}

// Context returns a context that is done when the process is killed or the context of
// NewProcess or Restart is done. Each Restart creates a new one.
func (p *Process) Context() context.Context { return p.current.Load().ctx }

// Kill ends the process (F1). Its messages and log operations fail from then on.
func (p *Process) Kill() {
	p.dead.Store(true)
	p.current.Load().kill()
}

// Restart starts the process again after a Kill.
func (p *Process) Restart(ctx context.Context) {
	ctx, kill := context.WithCancel(ctx)
	p.current.Store(&lifetime{ctx: ctx, kill: kill})
	p.dead.Store(false)
}

// Dead reports whether the process was killed.
func (p *Process) Dead() bool { return p.dead.Load() }

// Pause suspends the process for d (F8); messages to it wait.
func (p *Process) Pause(d time.Duration) { p.pausedUntil.Store(unixNanoAfter(d)) }

// Blackhole drops all messages to and from the process for d, so that its
// connections hang (F11).
func (p *Process) Blackhole(d time.Duration) { p.blackholedUntil.Store(unixNanoAfter(d)) }

// BlockLog makes the log unavailable to this process for d (F6 for one reader).
func (p *Process) BlockLog(d time.Duration) { p.logBlockedUntil.Store(unixNanoAfter(d)) }

// WaitWhilePaused blocks until the process is no longer paused.
func (p *Process) WaitWhilePaused() {
	for isActive(&p.pausedUntil) {
		time.Sleep(time.Duration(p.pausedUntil.Load() - time.Now().UnixNano()))
	}
}

func unixNanoAfter(d time.Duration) int64 { return time.Now().Add(d).UnixNano() }

func isActive(until *atomic.Int64) bool { return time.Now().UnixNano() < until.Load() }
