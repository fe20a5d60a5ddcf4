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
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// testEnv is an agent on loopback with a fake upstream, residency and view.
type testEnv struct {
	addr      string
	agent     *Agent
	inc       *Incarnation
	view      *controlstate.View
	viewStale bool
	// handlerSync is changed by the test before it sends a request and by each
	// handler, so that what the test sets happens before the handler reads it.
	handlerSync atomic.Int64

	mu         sync.Mutex
	calls      int
	refreshes  int
	acquireErr error
	// do and stream handle the calls to the upstream; n counts them from 1.
	do     func(ctx context.Context, n int) (engine.Response, error)
	stream func(ctx context.Context, n int, onData func([]byte) error) error
}

func newTestEnv(t testing.TB) *testEnv {
	check := is.New(t)
	join := record.MemberJoin{Instance: "agent", Incarnation: "i1", Role: record.RoleAgent}
	env := &testEnv{view: controlstate.Empty()}
	env.view.Members = cowmap.FromMap(map[string]controlstate.Member{"agent": {MemberJoin: join}})
	env.do = func(context.Context, int) (engine.Response, error) {
		return engine.Response{Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{}`)}, nil
	}
	self := record.InstanceRef{Instance: "agent", Incarnation: "i1"}
	attempts, err := attempt.New(self, attempt.Limits{})
	check.NoErr(err)
	known, err := poison.NewCrashTable(env)
	check.NoErr(err)
	tracker := poison.NewTracker(self, known)
	env.inc = &Incarnation{
		Self: self, Limiter: admit.New(join, env), Residency: env, Attempts: attempts, Tracker: tracker,
		Reporter: poison.NewReporter(self, tracker, known, env, env, env), Context: context.Background(),
	}
	check.NoErr(env.inc.Reporter.Init(context.Background()))
	machine := lifecycle.New()
	env.agent = New(Deps{
		Fleet: env, Current: func() *Incarnation { return env.inc }, Upstream: env,
		Lifecycle: machine, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	check.NoErr(machine.Serve())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	h.Use(func(ctx context.Context, c *app.RequestContext) {
		env.handlerSync.Add(1)
		c.Next(ctx)
	})
	env.agent.Register(h.Engine)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	env.addr = ln.Addr().String()
	return env
}

// View implements Fleet, admit.Views and poison.ViewSource.
func (env *testEnv) View() *controlstate.View { return env.view }

// MayWork implements admit.Views.
func (env *testEnv) MayWork() bool { return !env.viewStale }

// Acquire implements Residency.
func (env *testEnv) Acquire(context.Context, string, string, time.Time) (func(), error) {
	return func() {}, env.acquireErr
}

// Refresh implements Residency.
func (env *testEnv) Refresh(context.Context) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.refreshes++
	return nil
}

func (env *testEnv) nextCall() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.calls++
	return env.calls
}

func (env *testEnv) counts() (calls, refreshes int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.calls, env.refreshes
}

// Do implements Upstream.
func (env *testEnv) Do(ctx context.Context, _ engine.Request) (engine.Response, error) {
	return env.do(ctx, env.nextCall())
}

// Stream implements Upstream.
func (env *testEnv) Stream(ctx context.Context, _ engine.Request, onData func([]byte) error) error {
	return env.stream(ctx, env.nextCall(), onData)
}

// BootID implements poison.BootIDReader. The boot id stays the same, because the
// engine never restarts.
func (env *testEnv) BootID(context.Context) (string, error) { return "boot", nil }

// Append implements poison.Appender.
func (env *testEnv) Append(context.Context, record.Body) error { return nil }

// Notify implements poison.Notifier.
func (env *testEnv) Notify(context.Context, poison.CrashNotice) {}

func testRequest() dispatch.AttemptRequest {
	return dispatch.AttemptRequest{
		Attempt: "a1", Incarnation: "i1", Team: "t", Checkpoint: "m", Method: http.MethodPost, Path: "/v1/completions",
		Class: dispatch.ClassNormal, Timeout: 10 * time.Second, Digest: "d", Body: []byte(`{}`),
	}
}

// bufferSink keeps the response and calls onData after each chunk.
type bufferSink struct {
	chunks []string
	whole  dispatch.WholeResponse
	onData func() error
}

// Check implements dispatch.Sink.
func (s *bufferSink) Check() error { return nil }

// Data implements dispatch.Sink.
func (s *bufferSink) Data(data []byte) error {
	s.chunks = append(s.chunks, string(data))
	if s.onData != nil {
		return s.onData()
	}
	return nil
}

// WholeResponse implements dispatch.Sink.
func (s *bufferSink) WholeResponse(w dispatch.WholeResponse) error {
	s.whole = w
	return nil
}

func (env *testEnv) run(t testing.TB, r dispatch.AttemptRequest, s *bufferSink) (dispatch.End, error) {
	env.handlerSync.Add(1)
	client, err := dispatch.NewClient()
	is.New(t).NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Run(ctx, env.addr, r, s)
}

func evictedError() error { return errkind.New(errkind.ModelNotFound, "m is not loaded") }
