package residency

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/engine"
)

// readBack is one answer of the engine with what was known when it was asked.
type readBack struct {
	held engine.MemoryState
	// asked is when the question was sent.
	asked time.Time
	// seq is the account's sequence number then; replicas that changed since are not judged.
	seq uint64
	// byName indexes held.Checkpoints.
	byName map[string]engine.CheckpointState
}

// read asks the engine what it holds.
func (a *Account) read(ctx context.Context) (readBack, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Config.ReadTimeout)
	defer cancel()
	a.mu.Lock()
	b := readBack{asked: time.Now(), seq: a.seq}
	a.mu.Unlock()
	var epoch uint64
	if a.Boots != nil {
		epoch = a.Boots.Epoch()
	}
	held, err := a.Orders.MemoryState(ctx)
	if err != nil {
		return b, err
	}
	b.held = held
	b.byName = make(map[string]engine.CheckpointState, len(held.Checkpoints))
	for _, c := range held.Checkpoints {
		b.byName[c.Checkpoint] = c
	}
	if a.Boots != nil {
		a.Boots.Observe(epoch, held.BootID)
	}
	a.noteBoot(held)
	return b, nil
}

func (a *Account) noteBoot(held engine.MemoryState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bootID != "" && a.bootID != held.BootID {
		a.log.Warn("engine has restarted", zap.String("boot_id", held.BootID))
		clear(a.fenced)
	}
	a.bootID = held.BootID
	a.capacity = held.MemoryMiB
}

// resolve reads the engine back until r, whose op the caller holds, is known
// to be loaded or gone. It gives up, leaving r unknown, when the read fails,
// the checkpoint is still loading, or ctx ends.
func (a *Account) resolve(ctx context.Context, r *replica) {
	for {
		b, err := a.read(ctx)
		if err != nil {
			return
		}
		if a.judge(r, b) {
			return
		}
		if sleep(ctx, a.Config.Poll) != nil {
			return
		}
	}
}

// judge applies a read-back to a replica of unknown outcome and reports
// whether there is nothing left to wait for.
func (a *Account) judge(r *replica, b readBack) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != unknown {
		return true
	}
	if r.changed > b.seq {
		return false
	}
	c, held := b.byName[r.checkpoint]
	switch {
	case held && c.Loading:
		return true
	case held:
		a.fire(r, confirmed)
		r.version = c.Version
		r.reserved = max(r.reserved, c.MemoryMiB)
		r.idleSince.CompareAndSwap(0, time.Now().UnixNano())
		return true
	case b.asked.Before(r.quietAt) && !a.off.forgetUnknown:
		return false
	default:
		a.fire(r, gone)
		return true
	}
}

// sweepHeld compares the whole account with the engine.
func (a *Account) sweepHeld(ctx context.Context) error {
	b, err := a.read(ctx)
	if err != nil {
		return err
	}
	for _, c := range b.held.Checkpoints {
		a.notice(c, b)
	}
	for _, r := range a.all() {
		a.missing(r, b)
	}
	return nil
}

// notice enters a checkpoint that the engine holds and the account does not.
func (a *Account) notice(c engine.CheckpointState, b readBack) {
	r := a.replica(c.Checkpoint)
	if !r.tryOp() {
		return
	}
	defer r.endOp()
	a.mu.Lock()
	if r.state == absent && r.changed <= b.seq {
		a.fire(r, seen)
		r.reserved, r.version = c.MemoryMiB, c.Version
		r.changed = b.seq
	}
	a.mu.Unlock()
	if a.is(r, unknown) && a.judge(r, b) && a.is(r, loaded) {
		a.reopen(r)
	}
}

// reopen admits requests to a replica that a read-back found loaded.
func (a *Account) reopen(r *replica) {
	if !a.wanted(r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.wake == nil {
		r.open(0, time.Now())
	}
}

// missing notices that the engine has evicted r or has restarted (F5).
func (a *Account) missing(r *replica, b readBack) {
	if _, held := b.byName[r.checkpoint]; held || !r.tryOp() {
		return
	}
	defer r.endOp()
	a.mu.Lock()
	if r.state == loaded && r.changed <= b.seq {
		r.close()
		a.fire(r, gone)
		a.log.Info("engine has evicted a checkpoint", zap.String("checkpoint", r.checkpoint))
	}
	a.mu.Unlock()
	a.judge(r, b)
}
