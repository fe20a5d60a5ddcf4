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

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cow"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// Keys and limits of the test's configuration.
const (
	ownKey      = "own-secret"
	otherKey    = "other-secret"
	testMaxBody = 4096
)

// world is an entry instance on loopback whose parts are all faked.
type world struct {
	url     string
	entry   *Entry
	view    atomic.Pointer[fold.View]
	refusal atomic.Value

	mu      sync.Mutex
	orders  []work.Order
	settled []float64
	looked  []once.CallID
	// full makes the queue refuse.
	full bool
	run  runFunc
	// do runs calls that run at most once; nil means that the log is out.
	do func(ctx context.Context, d once.Dispatcher) (once.Result, error)
}

// runFunc answers the attempts, counted from 1.
type runFunc func(ctx context.Context, attempt int, o work.Order, s work.Sink) (work.End, error)

// answer sets what the upstreams do.
func (w *world) answer(run runFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.run = run
}

func sum(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

func testView() *fold.View {
	v := fold.Empty()
	v.Limits = config.Limits{MaxBodyBytes: testMaxBody}
	v.Teams = cow.FromMap(map[string]config.Team{"own": {}, "other": {}})
	v.Keys = cow.FromMap(map[string]config.Key{"k1": {Team: "own"}, "k2": {Team: "other"}})
	v.KeyIDByHash = cow.FromMap(map[string]string{sum(ownKey): "k1", sum(otherKey): "k2"})
	v.Models = cow.FromMap(map[string]config.Model{"m": {}, "private": {Teams: []string{"other"}}})
	v.Adapters = cow.FromMap(map[string]config.Adapter{
		"a": {Model: "m"}, "hidden": {Model: "m", Teams: []string{"other"}}, "p": {Model: "private"},
	})
	v.Routes = cow.FromMap(map[string]config.Route{
		"svc": {Repeatable: true}, "theirs": {Repeatable: true, Teams: []string{"other"}},
		"open": {Open: true, Repeatable: true}, "buy": {},
	})
	return v
}

func newWorld(t testing.TB) *world {
	w := &world{run: whole}
	w.view.Store(testView())
	w.refusal.Store(errkind.Kind(""))
	machine := lifecycle.New()
	w.entry = New(Deps{
		Fleet: w, Dispatcher: dispatcher{w}, Budget: w, Queue: w, Router: chooser{}, Once: w, Guard: w,
		Lifecycle: machine, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	check := is.New(t)
	check.NoErr(machine.Serve())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 4 * testMaxBody, WriteTimeout: time.Second})
	w.entry.Register(h.Engine)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	w.url = "http://" + ln.Addr().String()
	return w
}

func whole(_ context.Context, _ int, o work.Order, s work.Sink) (work.End, error) {
	err := s.Whole(work.Whole{Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{"ok":true}`)})
	return work.End{Attempt: o.Attempt, CompletionTokens: 3}, err
}

// sent returns the orders so far.
func (w *world) sent() []work.Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}

// charged returns what the reservations were settled on.
func (w *world) charged() []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.settled)
}

// View implements Fleet.
func (w *world) View() *fold.View { return w.view.Load() }

// Refusal implements Fleet.
func (w *world) Refusal() errkind.Kind { return w.refusal.Load().(errkind.Kind) }

// Reserve implements Budget.
func (w *world) Reserve(context.Context, string, float64) (func(float64), error) {
	return func(actual float64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.settled = append(w.settled, actual)
	}, nil
}

// Wait implements Queue.
func (w *world) Wait(context.Context, Turn) (func(Served), error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.full {
		return nil, errkind.New(errkind.QueueFull, "the queue is full")
	}
	return func(Served) {}, nil
}

// Do implements Once.
func (w *world) Do(ctx context.Context, _ once.CallID, _ once.Digest, d once.Dispatcher) (once.Result, error) {
	w.mu.Lock()
	do := w.do
	w.mu.Unlock()
	if do != nil {
		return do(ctx, d)
	}
	return once.Result{}, errkind.New(errkind.LogUnavailable, "the log is out")
}

// Status implements Once.
func (w *world) Status(_ context.Context, id once.CallID) (once.CallState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looked = append(w.looked, id)
	return once.CallState{}, errkind.New(errkind.RequestNotFound, "no such request")
}

// Check implements CrashGuard.
func (w *world) Check(poison.Digest) error { return nil }

// Withhold implements CrashGuard.
func (w *world) Withhold(context.Context, poison.Failure) {}

// dispatcher records the orders and answers them with the world's run.
type dispatcher struct{ w *world }

// Run implements Dispatcher.
func (d dispatcher) Run(ctx context.Context, _ string, o work.Order, s work.Sink) (work.End, error) {
	d.w.mu.Lock()
	d.w.orders = append(d.w.orders, o)
	n := len(d.w.orders)
	run := d.w.run
	d.w.mu.Unlock()
	return run(ctx, n, o, s)
}

// chooser names a new upstream for each attempt and allows every retry.
type chooser struct{}

// Choose implements Router.
func (chooser) Choose(_ *fold.View, _ work.Order, tried []string) (Choice, error) {
	var m fold.Member
	m.Instance = string(rune('a' + len(tried)))
	return Choice{Member: m, Done: func(work.End, error) {}}, nil
}

// MayRetry implements Router.
func (chooser) MayRetry(int) bool { return true }

// Started implements Router.
func (chooser) Started() {}

// reply is an answer as the caller sees it.
type reply struct {
	status int
	body   string
	errkind.Body
}

// send sends a request with ownKey unless the headers name another one.
func (w *world) send(t testing.TB, method, path, body string, headers map[string]string) reply {
	check := is.New(t)
	req, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	check.NoErr(err)
	req.Header.Set("Authorization", bearer+ownKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	check.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	check.NoErr(err)
	r := reply{status: resp.StatusCode, body: string(data)}
	_ = json.Unmarshal(data, &r.Body)
	return r
}
