package standin

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/google/uuid"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	// MemoryMiB is the memory for checkpoints.
	MemoryMiB int64
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// Weights is the store that the engine fetches checkpoints from; if it is nil,
	// loads complete immediately.
	Weights backing.WeightStore
	// ChecksFencing makes the engine refuse requests whose fencing token is lower
	// than one seen before for the same checkpoint.
	ChecksFencing bool
	// MaxColdInFlight is the highest number of requests in flight that the engine
	// survives during WarmUp: one more crashes it. 0 means no limit.
	MaxColdInFlight int
	// WarmUp is the time after each start during which MaxColdInFlight applies.
	WarmUp time.Duration
	// CrashMarker is a text that crashes the engine when a request body contains
	// it; empty never crashes.
	CrashMarker string
}

// Engine is a fake model engine that serves HTTP. It generates numbered words at a
// fixed rate and tracks which checkpoints it holds.
type Engine struct {
	options EngineOptions
	server  *server.Hertz
	addr    string

	// cancels maps the IDs of running requests to their context.CancelFunc.
	cancels  sync.Map
	inFlight atomic.Int64
	crashes  atomic.Int64
	requests atomic.Int64

	mu         sync.Mutex
	bootID     string
	booted     time.Time
	bootCtx    context.Context
	cancelBoot context.CancelFunc
	held       map[string]engine.CheckpointState
	fences     map[string]backing.Offset
	received   map[string]bool
	// maxRequestedMiB is the result of MaxRequestedMiB.
	maxRequestedMiB int64
}

// NewEngine returns an engine that serves on ln.
func NewEngine(ln net.Listener, o EngineOptions) *Engine {
	e := &Engine{options: o, addr: ln.Addr().String(), received: make(map[string]bool)}
	e.boot()
	e.server = peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: platformMaxBody, WriteTimeout: platformWriteTimeout})
	peer.Handle(e.server.Engine, engine.PathLoad, e.handleLoad)
	peer.Handle(e.server.Engine, engine.PathUnload, e.handleUnload)
	peer.Handle(e.server.Engine, engine.PathMemoryState, e.handleMemoryState)
	peer.Handle(e.server.Engine, engine.PathReport, e.handleReport)
	peer.Handle(e.server.Engine, engine.PathCancel, e.handleCancel)
	e.server.POST("/v1/completions", e.serveCompletion)
	e.server.POST("/v1/chat/completions", e.serveCompletion)
	return e
}

// Addr returns the listen address, IP:port.
func (e *Engine) Addr() string { return e.addr }

// Run serves until Shutdown is called.
func (e *Engine) Run() error { return e.server.Run() }

// Shutdown stops the server.
func (e *Engine) Shutdown(ctx context.Context) error { return e.server.Shutdown(ctx) }

// Requests returns the number of completions started.
func (e *Engine) Requests() int64 { return e.requests.Load() }

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int64 { return e.crashes.Load() }

// MaxRequestedMiB returns the highest memory use that any load request would have
// led to: its own memory plus that of the other checkpoints held at the time. It
// includes loads refused for lack of memory. A result above the engine's memory
// shows that an agent overcommitted it (H2).
func (e *Engine) MaxRequestedMiB() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxRequestedMiB
}

// ReceivedText reports whether the header or body of any received request
// contained text. Only the first 10,000 distinct requests are recorded.
func (e *Engine) ReceivedText(text string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for request := range e.received {
		if strings.Contains(request, text) {
			return true
		}
	}
	return false
}

// Crash ends every running request and restarts the engine without checkpoints.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.mu.Lock()
	cancelBoot := e.cancelBoot
	e.mu.Unlock()
	cancelBoot()
	e.boot()
}

// Evict drops a checkpoint without notifying the agent.
func (e *Engine) Evict(checkpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, checkpoint)
}

func (e *Engine) boot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = uuid.NewString()
	e.booted = time.Now()
	e.bootCtx, e.cancelBoot = context.WithCancel(context.Background())
	e.held = make(map[string]engine.CheckpointState)
	e.fences = make(map[string]backing.Offset)
}

func (e *Engine) handleLoad(ctx context.Context, o engine.LoadRequest) (engine.Empty, error) {
	if err := e.reserve(o); err != nil {
		return engine.Empty{}, err
	}
	if e.options.Weights != nil {
		if err := e.options.Weights.Fetch(ctx, o.Checkpoint, e.addr); err != nil {
			e.Evict(o.Checkpoint)
			return engine.Empty{}, errkind.Wrap(errkind.LoadFailed, "the weight store failed to deliver "+o.Checkpoint, err)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if h, ok := e.held[o.Checkpoint]; ok {
		h.Loading = false
		e.held[o.Checkpoint] = h
	}
	return engine.Empty{}, nil
}

func (e *Engine) reserve(o engine.LoadRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(o.Checkpoint, o.Fence); err != nil {
		return err
	}
	used := o.MemoryMiB
	for checkpoint, h := range e.held {
		if checkpoint != o.Checkpoint {
			used += h.MemoryMiB
		}
	}
	e.maxRequestedMiB = max(e.maxRequestedMiB, used)
	if used > e.options.MemoryMiB {
		return errkind.New(errkind.MemoryFull, fmt.Sprintf("load would use %d MiB of %d MiB", used, e.options.MemoryMiB))
	}
	e.held[o.Checkpoint] = engine.CheckpointState{
		Checkpoint: o.Checkpoint, Version: o.Version, MemoryMiB: o.MemoryMiB, Fence: o.Fence, Loading: true,
	}
	return nil
}

// checkFence requires e.mu.
func (e *Engine) checkFence(checkpoint string, fence backing.Offset) error {
	if !e.options.ChecksFencing {
		return nil
	}
	if fence < e.fences[checkpoint] {
		return errkind.New(errkind.Fenced, fmt.Sprintf("fencing token %d is lower than %d", fence, e.fences[checkpoint]))
	}
	e.fences[checkpoint] = fence
	return nil
}

func (e *Engine) handleUnload(_ context.Context, o engine.UnloadRequest) (engine.Empty, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(o.Checkpoint, o.Fence); err != nil {
		return engine.Empty{}, err
	}
	delete(e.held, o.Checkpoint)
	return engine.Empty{}, nil
}

func (e *Engine) handleMemoryState(context.Context, engine.Empty) (engine.MemoryState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := engine.MemoryState{BootID: e.bootID, MemoryMiB: e.options.MemoryMiB}
	for _, h := range e.held {
		state.Checkpoints = append(state.Checkpoints, h)
	}
	return state, nil
}

func (e *Engine) handleReport(context.Context, engine.Empty) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Report{BootID: e.bootID, InFlight: int(e.inFlight.Load())}, nil
}
