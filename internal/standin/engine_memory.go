package standin

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// ErrNoResponse means that the answer to an order was lost or that the engine
// did not accept the connection.
var ErrNoResponse = errors.New("engine did not answer")

// EngineFaults switches the faults of an EngineMemory.
type EngineFaults struct {
	// Delay holds back every message to the engine.
	Delay time.Duration
	// LoseResponses executes orders and then reports ErrNoAnswer.
	LoseResponses bool
	// DuplicateAfter delivers each order again after this time; 0 delivers once.
	DuplicateAfter time.Duration
	// LateDelivery reports ErrNoAnswer at once and delivers the order after this time,
	// as when a connection breaks behind a written order; 0 is off.
	LateDelivery time.Duration
	// Down refuses every connection.
	Down bool
}

// FaultyEngine is the memory side of a model engine: it takes orders to load
// and unload and says what it holds. It takes more than fits, as an engine
// whose overcommitment shows only later does, and records that it did. It is
// safe for concurrent use.
type FaultyEngine struct {
	name     string
	capacity int64
	checks   bool
	store    platform.WeightStore

	mu      sync.Mutex
	faults  EngineFaults
	boot    int
	held    map[string]*engine.HeldCheckpoint
	fences  map[string]platform.Offset
	history []EngineEvent
}

var _ engine.Orders = (*FaultyEngine)(nil)

// NewFaultyEngine returns an engine with the given memory. One that checks
// refuses orders with an old fencing number.
func NewFaultyEngine(name string, capacityMiB int64, checks bool, store platform.WeightStore) *FaultyEngine {
	e := &FaultyEngine{name: name, capacity: capacityMiB, checks: checks, store: store}
	e.Crash()
	return e
}

// SetFaults replaces the fault switches.
func (e *FaultyEngine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Crash restarts the engine: it holds nothing, has a new boot id and has
// forgotten the fencing numbers. Orders under way are lost.
func (e *FaultyEngine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.held = make(map[string]*engine.HeldCheckpoint)
	e.fences = make(map[string]platform.Offset)
	e.note(EngineBooted, "", 0, 0)
}

// Evict drops every loaded checkpoint without warning.
func (e *FaultyEngine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.sorted() {
		if !c.Loading {
			e.drop(c.Checkpoint)
		}
	}
}

// History returns the events so far in order.
func (e *FaultyEngine) History() []EngineEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.history)
}

// Load implements engine.Orders. An order that was sent takes effect even if
// ctx ends before the answer.
func (e *FaultyEngine) Load(ctx context.Context, o engine.LoadOrder) error {
	return e.send(ctx, func(boot int) error { return e.load(boot, o) })
}

// Unload implements engine.Orders. Unloading a base model drops its adapters.
func (e *FaultyEngine) Unload(ctx context.Context, o engine.UnloadOrder) error {
	return e.send(ctx, func(boot int) error { return e.unload(boot, o) })
}

// Held implements engine.Orders.
func (e *FaultyEngine) Held(ctx context.Context) (engine.Held, error) {
	var held engine.Held
	f, _ := e.settings()
	if f.Down {
		return held, ErrNoResponse
	}
	select {
	case <-time.After(f.Delay):
	case <-ctx.Done():
		return held, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Held{BootID: strconv.Itoa(e.boot), MemoryMiB: e.capacity, Checkpoints: e.sorted()}, nil
}

func (e *FaultyEngine) settings() (EngineFaults, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.boot
}

// send delivers a message after the delay, perhaps twice.
func (e *FaultyEngine) send(ctx context.Context, deliver func(boot int) error) error {
	f, boot := e.settings()
	if f.Down {
		return ErrNoResponse
	}
	answer := make(chan error, 1)
	go func() {
		time.Sleep(f.Delay + f.LateDelivery)
		answer <- deliver(boot)
	}()
	if f.DuplicateAfter > 0 {
		go func() {
			time.Sleep(f.Delay + f.DuplicateAfter)
			_ = deliver(boot)
		}()
	}
	if f.LateDelivery > 0 {
		return ErrNoResponse
	}
	select {
	case err := <-answer:
		if f.LoseResponses {
			return ErrNoResponse
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *FaultyEngine) load(boot int, o engine.LoadOrder) error {
	if started, err := e.startLoad(boot, o); !started {
		return err
	}
	err := e.store.Fetch(context.Background(), o.Checkpoint, e.name)
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.held[o.Checkpoint]
	if boot != e.boot || !ok {
		return ErrNoResponse
	}
	if err != nil {
		e.drop(o.Checkpoint)
		return errkind.Wrap(errkind.UpstreamBusy, "weight store refused "+o.Checkpoint, err)
	}
	c.Loading = false
	e.note(EngineLoaded, o.Checkpoint, o.MemoryMiB, o.Fence)
	return nil
}

func (e *FaultyEngine) startLoad(boot int, o engine.LoadOrder) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.boot {
		return false, ErrNoResponse
	}
	if err := e.pass(o.Checkpoint, o.Fence); err != nil {
		return false, err
	}
	if c, ok := e.held[o.Checkpoint]; ok {
		c.Fence = max(c.Fence, o.Fence)
		return false, nil
	}
	e.held[o.Checkpoint] = &engine.HeldCheckpoint{
		Checkpoint: o.Checkpoint, Version: o.Version, MemoryMiB: o.MemoryMiB, Fence: o.Fence, Loading: true,
	}
	e.note(EngineLoading, o.Checkpoint, o.MemoryMiB, o.Fence)
	return true, nil
}

func (e *FaultyEngine) unload(boot int, o engine.UnloadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.boot {
		return ErrNoResponse
	}
	if err := e.pass(o.Checkpoint, o.Fence); err != nil {
		return err
	}
	e.drop(o.Checkpoint)
	for _, c := range e.sorted() {
		if strings.HasPrefix(c.Checkpoint, o.Checkpoint+":") {
			e.drop(c.Checkpoint)
		}
	}
	return nil
}

// pass checks and raises the fencing number of the checkpoint.
func (e *FaultyEngine) pass(checkpoint string, fence platform.Offset) error {
	if !e.checks {
		return nil
	}
	if fence < e.fences[checkpoint] {
		e.note(EngineRefused, checkpoint, 0, fence)
		return errkind.New(errkind.Fenced, "order for "+checkpoint+" has an old fencing number")
	}
	e.fences[checkpoint] = fence
	e.note(EngineFenceSet, checkpoint, 0, fence)
	return nil
}

func (e *FaultyEngine) drop(checkpoint string) {
	c, ok := e.held[checkpoint]
	if !ok {
		return
	}
	delete(e.held, checkpoint)
	e.note(EngineDropped, checkpoint, c.MemoryMiB, c.Fence)
}

func (e *FaultyEngine) sorted() []engine.HeldCheckpoint {
	out := make([]engine.HeldCheckpoint, 0, len(e.held))
	for _, c := range e.held {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y engine.HeldCheckpoint) int { return strings.Compare(x.Checkpoint, y.Checkpoint) })
	return out
}

func (e *FaultyEngine) note(k EngineEventKind, checkpoint string, mib int64, fence platform.Offset) {
	e.history = append(e.history, EngineEvent{
		At: time.Now(), Engine: e.name, Kind: k, Checkpoint: checkpoint, MemoryMiB: mib, Fence: fence,
	})
}
