package standin

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// ErrNoResponse means that the response to a request was lost or that the engine
// did not accept the connection.
var ErrNoResponse = errors.New("engine did not respond")

// EngineFaults selects the faults that a FaultyEngine injects.
type EngineFaults struct {
	// Delay is added to the delivery of every message to the engine.
	Delay time.Duration
	// LoseResponses makes the engine execute each request but return ErrNoResponse.
	LoseResponses bool
	// DuplicateAfter is the time after which each request is delivered a second
	// time; 0 delivers it once.
	DuplicateAfter time.Duration
	// LateDelivery makes each request return ErrNoResponse immediately and delivers
	// it after this time, as if the connection broke after the request was written;
	// 0 is off.
	LateDelivery time.Duration
	// Down makes every connection fail.
	Down bool
}

// FaultyEngine is an in-process fake of a model engine. It executes load and
// unload requests and reports which checkpoints it holds, but serves no requests.
// It also accepts loads that exceed its memory, like an engine that fails only
// later; its history shows the overcommitment. It is safe for concurrent use.
type FaultyEngine struct {
	name          string
	capacity      int64
	checksFencing bool
	store         backing.WeightStore

	mu      sync.Mutex
	faults  EngineFaults
	boot    int
	held    map[string]*engine.CheckpointState
	fences  map[string]backing.Offset
	history []EngineEvent
}

var _ engine.CheckpointLoader = (*FaultyEngine)(nil)

// NewFaultyEngine returns an engine with the given memory. With checksFencing it
// refuses requests whose fencing token is lower than one it has seen for the same
// checkpoint.
func NewFaultyEngine(name string, capacityMiB int64, checksFencing bool, store backing.WeightStore) *FaultyEngine {
	e := &FaultyEngine{name: name, capacity: capacityMiB, checksFencing: checksFencing, store: store}
	e.Crash()
	return e
}

// SetFaults replaces the injected faults.
func (e *FaultyEngine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Crash restarts the engine with a new boot ID, without checkpoints and without
// the fencing tokens that it has seen. Requests in progress are lost.
func (e *FaultyEngine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.held = make(map[string]*engine.CheckpointState)
	e.fences = make(map[string]backing.Offset)
	e.record(EngineBooted, "", 0, 0)
}

// Evict drops every loaded checkpoint without warning.
func (e *FaultyEngine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.sortedCheckpoints() {
		if !c.Loading {
			e.drop(c.Checkpoint)
		}
	}
}

// History returns all events so far, oldest first.
func (e *FaultyEngine) History() []EngineEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.history)
}

// Load implements engine.CheckpointLoader. A request that was sent takes
// effect even if ctx ends before the response.
func (e *FaultyEngine) Load(ctx context.Context, o engine.LoadRequest) error {
	return e.send(ctx, func(boot int) error { return e.load(boot, o) })
}

// Unload implements engine.CheckpointLoader. Unloading a base model drops its adapters.
func (e *FaultyEngine) Unload(ctx context.Context, o engine.UnloadRequest) error {
	return e.send(ctx, func(boot int) error { return e.unload(boot, o) })
}

// MemoryState implements engine.CheckpointLoader.
func (e *FaultyEngine) MemoryState(ctx context.Context) (engine.MemoryState, error) {
	var none engine.MemoryState
	f, _ := e.faultsAndBoot()
	if f.Down {
		return none, ErrNoResponse
	}
	select {
	case <-time.After(f.Delay):
	case <-ctx.Done():
		return none, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.MemoryState{BootID: strconv.Itoa(e.boot), MemoryMiB: e.capacity, Checkpoints: e.sortedCheckpoints()}, nil
}

func (e *FaultyEngine) faultsAndBoot() (EngineFaults, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.boot
}

// send delivers a request and applies the injected faults: it may deliver the request
// late or twice, or lose the response.
func (e *FaultyEngine) send(ctx context.Context, deliver func(boot int) error) error {
	f, boot := e.faultsAndBoot()
	if f.Down {
		return ErrNoResponse
	}
	response := make(chan error, 1)
	go func() {
		time.Sleep(f.Delay + f.LateDelivery)
		response <- deliver(boot)
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
	case err := <-response:
		if f.LoseResponses {
			return ErrNoResponse
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *FaultyEngine) load(boot int, o engine.LoadRequest) error {
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
		return errkind.Wrap(errkind.UpstreamBusy, "weight store refused to deliver "+o.Checkpoint, err)
	}
	c.Loading = false
	e.record(EngineLoaded, o.Checkpoint, o.MemoryMiB, o.Fence)
	return nil
}

func (e *FaultyEngine) startLoad(boot int, o engine.LoadRequest) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.boot {
		return false, ErrNoResponse
	}
	if err := e.checkFence(o.Checkpoint, o.Fence); err != nil {
		return false, err
	}
	if c, ok := e.held[o.Checkpoint]; ok {
		c.Fence = max(c.Fence, o.Fence)
		return false, nil
	}
	e.held[o.Checkpoint] = &engine.CheckpointState{
		Checkpoint: o.Checkpoint, Version: o.Version, MemoryMiB: o.MemoryMiB, Fence: o.Fence, Loading: true,
	}
	e.record(EngineLoading, o.Checkpoint, o.MemoryMiB, o.Fence)
	return true, nil
}

func (e *FaultyEngine) unload(boot int, o engine.UnloadRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.boot {
		return ErrNoResponse
	}
	if err := e.checkFence(o.Checkpoint, o.Fence); err != nil {
		return err
	}
	e.drop(o.Checkpoint)
	for _, c := range e.sortedCheckpoints() {
		if strings.HasPrefix(c.Checkpoint, o.Checkpoint+":") {
			e.drop(c.Checkpoint)
		}
	}
	return nil
}

// checkFence refuses a fencing token that is lower than the highest one seen for
// the checkpoint, and otherwise records it as the highest.
func (e *FaultyEngine) checkFence(checkpoint string, fence backing.Offset) error {
	if !e.checksFencing {
		return nil
	}
	if fence < e.fences[checkpoint] {
		e.record(EngineRefused, checkpoint, 0, fence)
		return errkind.New(errkind.Fenced, "request for "+checkpoint+" has a lower fencing token than an earlier request")
	}
	e.fences[checkpoint] = fence
	e.record(EngineFenceSet, checkpoint, 0, fence)
	return nil
}

func (e *FaultyEngine) drop(checkpoint string) {
	c, ok := e.held[checkpoint]
	if !ok {
		return
	}
	delete(e.held, checkpoint)
	e.record(EngineDropped, checkpoint, c.MemoryMiB, c.Fence)
}

func (e *FaultyEngine) sortedCheckpoints() []engine.CheckpointState {
	out := make([]engine.CheckpointState, 0, len(e.held))
	for _, c := range e.held {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y engine.CheckpointState) int { return strings.Compare(x.Checkpoint, y.Checkpoint) })
	return out
}

func (e *FaultyEngine) record(k EngineEventKind, checkpoint string, mib int64, fence backing.Offset) {
	e.history = append(e.history, EngineEvent{
		At: time.Now(), Engine: e.name, Kind: k, Checkpoint: checkpoint, MemoryMiB: mib, Fence: fence,
	})
}
