package agent

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// TestRefusals guards against an attempt that reaches the upstream although the
// agent must not run it, and against an error that wrongly says "not run" (H11).
func TestRefusals(t *testing.T) {
	rows := []struct {
		name  string
		setup func(*testing.T, *testEnv, *dispatch.AttemptRequest)
		kind  errkind.Kind
		ran   errkind.Ran
		calls int
	}{
		{"another incarnation", func(_ *testing.T, _ *testEnv, r *dispatch.AttemptRequest) { r.Incarnation = "i0" }, errkind.UpstreamUnavailable, errkind.RanNo, 0},
		{"not joined", func(_ *testing.T, env *testEnv, _ *dispatch.AttemptRequest) { env.inc = nil }, errkind.ViewStale, errkind.RanNo, 0},
		{"stale view", func(_ *testing.T, env *testEnv, _ *dispatch.AttemptRequest) { env.viewStale = true }, errkind.ViewStale, errkind.RanNo, 0},
		{"leaving", func(_ *testing.T, env *testEnv, _ *dispatch.AttemptRequest) { env.inc.Limiter.Drain() }, errkind.Draining, errkind.RanNo, 0},
		{"stopping", func(t *testing.T, env *testEnv, _ *dispatch.AttemptRequest) {
			_, err := env.agent.Lifecycle.Drain(context.Background())
			is.New(t).NoErr(err)
		}, errkind.Draining, errkind.RanNo, 0},
		{"not loaded", func(_ *testing.T, env *testEnv, _ *dispatch.AttemptRequest) {
			env.acquireErr = errkind.New(errkind.LoadFailed, "the store refused the read")
		}, errkind.LoadFailed, errkind.RanNo, 0},
		{"evicted repeatedly", func(_ *testing.T, env *testEnv, _ *dispatch.AttemptRequest) {
			env.do = func(context.Context, int) (engine.Response, error) { return engine.Response{}, evictedError() }
		}, errkind.LoadFailed, errkind.RanNo, 1 + maxEvictions},
		{"no answer in time", func(_ *testing.T, env *testEnv, _ *dispatch.AttemptRequest) {
			env.do = func(context.Context, int) (engine.Response, error) {
				return engine.Response{}, errkind.New(errkind.DeadlinePassed, "no answer")
			}
		}, errkind.DeadlinePassed, errkind.RanUnknown, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			env, r := newTestEnv(t), testRequest()
			row.setup(t, env, &r)
			_, err := env.run(t, r, &bufferSink{})
			check.Equal(errkind.From(err).Kind, row.kind)
			check.Equal(errkind.From(err).Ran, row.ran)
			calls, _ := env.counts()
			check.Equal(calls, row.calls)
		})
	}
}

// TestEviction guards against a request that fails because the engine evicted its
// model without notice (F5).
func TestEviction(t *testing.T) {
	for _, stream := range []bool{false, true} {
		check := is.New(t)
		env, r := newTestEnv(t), testRequest()
		answer := env.do
		env.do = func(ctx context.Context, n int) (engine.Response, error) {
			if n == 1 {
				return engine.Response{}, evictedError()
			}
			return answer(ctx, n)
		}
		env.stream = func(_ context.Context, n int, onData func([]byte) error) error {
			if n == 1 {
				return evictedError()
			}
			return onData([]byte("1"))
		}
		r.Stream = stream
		_, err := env.run(t, r, &bufferSink{})
		check.NoErr(err)
		calls, refreshes := env.counts()
		check.Equal(calls, 2)
		check.Equal(refreshes, 1)
	}
}

// TestEngineRefusal covers a streamed request that the engine refuses with an HTTP
// error. It guards against an internal error in place of the engine's response.
func TestEngineRefusal(t *testing.T) {
	check := is.New(t)
	env, r := newTestEnv(t), testRequest()
	refusal := engine.Response{Status: http.StatusBadRequest, ContentType: "application/json", Body: []byte(`{"error":{"message":"long"}}`)}
	env.stream = func(context.Context, int, func([]byte) error) error { return &engine.ResponseError{Response: refusal} }
	r.Stream = true
	var s bufferSink
	_, err := env.run(t, r, &s)
	check.NoErr(err)
	check.Equal(s.whole, dispatch.WholeResponse{Status: refusal.Status, ContentType: refusal.ContentType, Body: refusal.Body})
}

// TestAbandonedStreamIsCancelled guards against an upstream that keeps generating
// a stream after the entry instance has abandoned the attempt.
func TestAbandonedStreamIsCancelled(t *testing.T) {
	check := is.New(t)
	env, r := newTestEnv(t), testRequest()
	ended := make(chan struct{})
	env.stream = func(ctx context.Context, _ int, onData func([]byte) error) error {
		defer close(ended)
		if err := onData([]byte("1")); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}
	r.Stream = true
	s := bufferSink{onData: func() error { return errkind.New(errkind.KeyWithdrawn, "withdrawn") }}
	_, err := env.run(t, r, &s)
	check.True(err != nil)
	<-ended
}

// TestOnceContinuesAfterDisconnect guards against an at-most-once call that is
// cancelled when its entry instance disconnects: its outcome would be unknown
// (H12).
func TestOnceContinuesAfterDisconnect(t *testing.T) {
	check := is.New(t)
	env, r := newTestEnv(t), testRequest()
	started, finish := make(chan struct{}), make(chan struct{})
	outcome := make(chan error, 1)
	env.do = func(ctx context.Context, _ int) (engine.Response, error) {
		close(started)
		<-finish
		outcome <- ctx.Err()
		return engine.Response{Status: http.StatusOK, Body: []byte("sold")}, nil
	}
	r.Checkpoint, r.Route, r.Once, r.IdempotencyKey = "", "buy", true, "k"
	r.Attempt = "0197f4a0-0000-7000-8000-000000000001"
	ctx, disconnect := context.WithCancel(context.Background())
	client, err := dispatch.NewClient()
	check.NoErr(err)
	go func() {
		<-started
		disconnect()
		found, err := env.agent.cancel(context.Background(), dispatch.Cancel{Attempt: r.Attempt})
		if err != nil || found.Found {
			outcome <- errkind.New(errkind.Internal, "the call was cancelled")
		}
		close(finish)
	}()
	env.handlerSync.Add(1)
	_, _ = client.Run(ctx, env.addr, r, &bufferSink{})
	check.NoErr(<-outcome)
}
