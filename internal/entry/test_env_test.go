package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
)

// Keys and limits of the test configuration.
const (
	ownKey      = "own-secret"
	otherKey    = "other-secret"
	testMaxBody = 4096
)

// testEnv is an entry instance on loopback. testEnv, fakeDispatcher and fakeRouter
// implement its dependencies.
type testEnv struct {
	url     string
	entry   *Entry
	view    atomic.Pointer[controlstate.View]
	refusal atomic.Value

	mu       sync.Mutex
	requests []dispatch.AttemptRequest
	settled  []float64
	lookups  []atmostonce.CallID
	// queueFull makes Wait return queue_full.
	queueFull bool
	run       runFunc
	// doOnce implements Do; if it is nil, Do returns log_unavailable.
	doOnce func(ctx context.Context, d atmostonce.Dispatcher) (atmostonce.Result, error)
}

// runFunc runs an attempt; attempts are counted from 1.
type runFunc func(ctx context.Context, attempt int, r dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error)

// setRun sets how the upstreams respond.
func (env *testEnv) setRun(run runFunc) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.run = run
}

func keyHash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

func testView() *controlstate.View {
	v := controlstate.Empty()
	v.Limits = config.Limits{MaxBodyBytes: testMaxBody}
	v.Teams = cowmap.FromMap(map[string]config.Team{"own": {}, "other": {}})
	v.Keys = cowmap.FromMap(map[string]config.Key{"k1": {Team: "own"}, "k2": {Team: "other"}})
	v.KeyIDByHash = cowmap.FromMap(map[string]string{keyHash(ownKey): "k1", keyHash(otherKey): "k2"})
	v.Models = cowmap.FromMap(map[string]config.Model{"m": {}, "private": {Teams: []string{"other"}}})
	v.Adapters = cowmap.FromMap(map[string]config.Adapter{
		"a": {Model: "m"}, "hidden": {Model: "m", Teams: []string{"other"}}, "p": {Model: "private"},
	})
	v.Routes = cowmap.FromMap(map[string]config.Route{
		"svc": {Repeatable: true}, "theirs": {Repeatable: true, Teams: []string{"other"}},
		"open": {Open: true, Repeatable: true}, "buy": {},
	})
	return v
}

func newTestEnv(t testing.TB) *testEnv {
	env := &testEnv{run: okResponse}
	env.view.Store(testView())
	env.refusal.Store(errkind.Kind(""))
	machine := lifecycle.New()
	env.entry = New(Deps{
		Fleet: env, Dispatcher: fakeDispatcher{env}, Budget: env, Queue: env, Router: fakeRouter{}, Once: env, Guard: env,
		Lifecycle: machine, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	check := is.New(t)
	check.NoErr(machine.Serve())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 4 * testMaxBody, WriteTimeout: time.Second})
	env.entry.Register(h.Engine)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	env.url = "http://" + ln.Addr().String()
	return env
}

func okResponse(_ context.Context, _ int, r dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error) {
	err := s.WholeResponse(dispatch.WholeResponse{Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{"ok":true}`)})
	return dispatch.End{Attempt: r.Attempt, CompletionTokens: 3}, err
}

// sentRequests returns the requests dispatched so far.
func (env *testEnv) sentRequests() []dispatch.AttemptRequest {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.requests)
}

// chargedTokens returns the tokens that each reservation was settled with.
func (env *testEnv) chargedTokens() []float64 {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.settled)
}

// View implements Fleet.
func (env *testEnv) View() *controlstate.View { return env.view.Load() }

// Refusal implements Fleet.
func (env *testEnv) Refusal() errkind.Kind { return env.refusal.Load().(errkind.Kind) }

// Reserve implements Budget.
func (env *testEnv) Reserve(context.Context, string, float64) (func(float64), error) {
	return func(actual float64) {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.settled = append(env.settled, actual)
	}, nil
}

// Wait implements Queue.
func (env *testEnv) Wait(context.Context, QueuedRequest) (func(DispatchResult), error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.queueFull {
		return nil, errkind.New(errkind.QueueFull, "the queue is full")
	}
	return func(DispatchResult) {}, nil
}

// Do implements Once.
func (env *testEnv) Do(ctx context.Context, _ atmostonce.CallID, _ atmostonce.Digest, d atmostonce.Dispatcher) (atmostonce.Result, error) {
	env.mu.Lock()
	doOnce := env.doOnce
	env.mu.Unlock()
	if doOnce != nil {
		return doOnce(ctx, d)
	}
	return atmostonce.Result{}, errkind.New(errkind.LogUnavailable, "the log is not available")
}

// Status implements Once.
func (env *testEnv) Status(_ context.Context, id atmostonce.CallID) (atmostonce.CallState, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.lookups = append(env.lookups, id)
	return atmostonce.CallState{}, errkind.New(errkind.RequestNotFound, "no such request")
}

// Check implements CrashGuard.
func (env *testEnv) Check(poison.Digest) error { return nil }

// Withhold implements CrashGuard.
func (env *testEnv) Withhold(context.Context, poison.FailedAttempt) {}

// fakeDispatcher records the requests and runs them with testEnv.run.
type fakeDispatcher struct{ env *testEnv }

// Run implements Dispatcher.
func (d fakeDispatcher) Run(ctx context.Context, _ string, r dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error) {
	d.env.mu.Lock()
	d.env.requests = append(d.env.requests, r)
	n := len(d.env.requests)
	run := d.env.run
	d.env.mu.Unlock()
	return run(ctx, n, r, s)
}

// fakeRouter chooses a new upstream for each attempt and allows every retry.
type fakeRouter struct{}

// Choose implements Router.
func (fakeRouter) Choose(_ *controlstate.View, _ dispatch.AttemptRequest, tried []string) (Choice, error) {
	var m controlstate.Member
	m.Instance = string(rune('a' + len(tried)))
	return Choice{Member: m, Done: func(dispatch.End, error) {}}, nil
}

// AllowRetry implements Router.
func (fakeRouter) AllowRetry(int) bool { return true }

// CountRequest implements Router.
func (fakeRouter) CountRequest() {}

// response is what the caller receives.
type response struct {
	status int
	body   string
	errkind.Body
}

// send sends a request with ownKey, unless headers sets another Authorization.
func (env *testEnv) send(t testing.TB, method, path, body string, headers map[string]string) response {
	check := is.New(t)
	req, err := http.NewRequest(method, env.url+path, strings.NewReader(body))
	check.NoErr(err)
	req.Header.Set("Authorization", bearerPrefix+ownKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	check.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	check.NoErr(err)
	r := response{status: resp.StatusCode, body: string(data)}
	_ = json.Unmarshal(data, &r.Body)
	return r
}
