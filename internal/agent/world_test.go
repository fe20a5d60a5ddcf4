package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/admit"
	"github.com/jacinthbend/jacinthbend/internal/cow"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// world is an agent on loopback whose upstream, residency and view are faked.
type world struct {
	addr  string
	agent *Agent
	inc   *Incarnation
	view  *fold.View
	blind bool
	// turn orders what a test sets before the handlers that read it.
	turn atomic.Int64

	mu         sync.Mutex
	calls      int
	refreshes  int
	acquireErr error
	// do and stream answer the calls of the upstream, counted from 1.
	do     func(ctx context.Context, n int) (engine.Response, error)
	stream func(ctx context.Context, n int, onData func([]byte) error) error
}

func newWorld(t testing.TB) *world {
	check := is.New(t)
	join := record.MemberJoin{Instance: "agent", Incarnation: "i1", Role: record.RoleAgent}
	w := &world{view: fold.Empty()}
	w.view.Members = cow.FromMap(map[string]fold.Member{"agent": {MemberJoin: join}})
	w.do = func(context.Context, int) (engine.Response, error) {
		return engine.Response{Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{}`)}, nil
	}
	self := record.HomeRef{Instance: "agent", Incarnation: "i1"}
	attempts, err := attempt.New(self, attempt.Limits{})
	check.NoErr(err)
	known, err := poison.NewKnown(w)
	check.NoErr(err)
	tracker := poison.NewTracker(self, known)
	w.inc = &Incarnation{
		Self: self, Limiter: admit.New(join, w), Residency: w, Attempts: attempts, Tracker: tracker,
		Reporter: poison.NewReporter(self, tracker, known, w, w, w), Life: context.Background(),
	}
	check.NoErr(w.inc.Reporter.Provision(context.Background()))
	machine := lifecycle.New()
	w.agent = New(Deps{
		Fleet: w, Current: func() *Incarnation { return w.inc }, Upstream: w,
		Lifecycle: machine, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	check.NoErr(machine.Serve())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	h.Use(func(ctx context.Context, c *app.RequestContext) {
		w.turn.Add(1)
		c.Next(ctx)
	})
	w.agent.Register(h.Engine)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	w.addr = ln.Addr().String()
	return w
}

// View implements Fleet, admit.Views and poison.Views.
func (w *world) View() *fold.View { return w.view }

// MayWork implements admit.Views.
func (w *world) MayWork() bool { return !w.blind }

// Acquire implements Residency.
func (w *world) Acquire(context.Context, string, string, time.Time) (func(), error) {
	return func() {}, w.acquireErr
}

// Refresh implements Residency.
func (w *world) Refresh(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refreshes++
	return nil
}

func (w *world) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return w.calls
}

func (w *world) counts() (calls, refreshes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls, w.refreshes
}

// Do implements Upstream.
func (w *world) Do(ctx context.Context, _ engine.Request) (engine.Response, error) {
	return w.do(ctx, w.count())
}

// Stream implements Upstream.
func (w *world) Stream(ctx context.Context, _ engine.Request, onData func([]byte) error) error {
	return w.stream(ctx, w.count(), onData)
}

// BootID implements poison.Boots; the engine never restarts.
func (w *world) BootID(context.Context) (string, error) { return "boot", nil }

// Append implements poison.Appender.
func (w *world) Append(context.Context, record.Body) error { return nil }

// Notify implements poison.Notifier.
func (w *world) Notify(context.Context, poison.Notice) {}

func order() work.Order {
	return work.Order{
		Attempt: "a1", Incarnation: "i1", Team: "t", Checkpoint: "m", Method: http.MethodPost, Path: "/v1/completions",
		Class: work.ClassNormal, Timeout: 10 * time.Second, Digest: "d", Body: []byte(`{}`),
	}
}

// kept is a sink that keeps everything and tells of each chunk.
type kept struct {
	chunks []string
	whole  work.Whole
	onData func() error
}

// Check implements work.Sink.
func (k *kept) Check() error { return nil }

// Data implements work.Sink.
func (k *kept) Data(data []byte) error {
	k.chunks = append(k.chunks, string(data))
	if k.onData != nil {
		return k.onData()
	}
	return nil
}

// Whole implements work.Sink.
func (k *kept) Whole(w work.Whole) error {
	k.whole = w
	return nil
}

func (w *world) run(t testing.TB, o work.Order, k *kept) (work.End, error) {
	w.turn.Add(1)
	client, err := work.NewClient()
	is.New(t).NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Run(ctx, w.addr, o, k)
}

func evicted() error { return errkind.New(errkind.ModelNotFound, "m is not loaded") }
