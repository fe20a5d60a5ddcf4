package agent

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// TestRefusals guards against an order that reaches the upstream although the
// agent may not run it, and against a false "not run" (H11).
func TestRefusals(t *testing.T) {
	rows := []struct {
		name  string
		set   func(*testing.T, *world, *work.Order)
		kind  errkind.Kind
		ran   errkind.Ran
		calls int
	}{
		{"another incarnation", func(_ *testing.T, _ *world, o *work.Order) { o.Incarnation = "i0" }, errkind.UpstreamUnavailable, errkind.RanNo, 0},
		{"not joined", func(_ *testing.T, w *world, _ *work.Order) { w.inc = nil }, errkind.ViewStale, errkind.RanNo, 0},
		{"old view", func(_ *testing.T, w *world, _ *work.Order) { w.blind = true }, errkind.ViewStale, errkind.RanNo, 0},
		{"leaving", func(_ *testing.T, w *world, _ *work.Order) { w.inc.Limiter.Drain() }, errkind.Draining, errkind.RanNo, 0},
		{"stopping", func(t *testing.T, w *world, _ *work.Order) {
			_, err := w.agent.Lifecycle.Drain(context.Background())
			is.New(t).NoErr(err)
		}, errkind.Draining, errkind.RanNo, 0},
		{"not loaded", func(_ *testing.T, w *world, _ *work.Order) {
			w.acquireErr = errkind.New(errkind.LoadFailed, "the store refuses")
		}, errkind.LoadFailed, errkind.RanNo, 0},
		{"evicted again and again", func(_ *testing.T, w *world, _ *work.Order) {
			w.do = func(context.Context, int) (engine.Response, error) { return engine.Response{}, evicted() }
		}, errkind.LoadFailed, errkind.RanNo, 1 + maxEvictions},
		{"no answer in time", func(_ *testing.T, w *world, _ *work.Order) {
			w.do = func(context.Context, int) (engine.Response, error) {
				return engine.Response{}, errkind.New(errkind.DeadlinePassed, "no answer")
			}
		}, errkind.DeadlinePassed, errkind.RanUnknown, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			w, o := newWorld(t), order()
			row.set(t, w, &o)
			_, err := w.run(t, o, &kept{})
			check.Equal(errkind.From(err).Kind, row.kind)
			check.Equal(errkind.From(err).Ran, row.ran)
			calls, _ := w.counts()
			check.Equal(calls, row.calls)
		})
	}
}

// TestEviction guards against a request that fails because the engine evicted
// its model without warning (F5).
func TestEviction(t *testing.T) {
	for _, stream := range []bool{false, true} {
		check := is.New(t)
		w, o := newWorld(t), order()
		answer := w.do
		w.do = func(ctx context.Context, n int) (engine.Response, error) {
			if n == 1 {
				return engine.Response{}, evicted()
			}
			return answer(ctx, n)
		}
		w.stream = func(_ context.Context, n int, onData func([]byte) error) error {
			if n == 1 {
				return evicted()
			}
			return onData([]byte("1"))
		}
		o.Stream = stream
		_, err := w.run(t, o, &kept{})
		check.NoErr(err)
		calls, refreshes := w.counts()
		check.Equal(calls, 2)
		check.Equal(refreshes, 1)
	}
}

// TestEngineRefusal guards against an engine's own refusal of a streamed
// request that becomes an internal error.
func TestEngineRefusal(t *testing.T) {
	check := is.New(t)
	w, o := newWorld(t), order()
	refusal := engine.Response{Status: http.StatusBadRequest, ContentType: "application/json", Body: []byte(`{"error":{"message":"long"}}`)}
	w.stream = func(context.Context, int, func([]byte) error) error { return &engine.ResponseError{Response: refusal} }
	o.Stream = true
	var k kept
	_, err := w.run(t, o, &k)
	check.NoErr(err)
	check.Equal(k.whole, work.Whole{Status: refusal.Status, ContentType: refusal.ContentType, Body: refusal.Body})
}

// TestCancel guards against a stream that its entry instance has given up and
// that the upstream generates to its end.
func TestCancel(t *testing.T) {
	check := is.New(t)
	w, o := newWorld(t), order()
	ended := make(chan struct{})
	w.stream = func(ctx context.Context, _ int, onData func([]byte) error) error {
		defer close(ended)
		if err := onData([]byte("1")); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}
	o.Stream = true
	k := kept{onData: func() error { return errkind.New(errkind.KeyWithdrawn, "withdrawn") }}
	_, err := w.run(t, o, &k)
	check.True(err != nil)
	<-ended
}

// TestOnceGoesOn guards against a call that runs at most once and is cut when
// its entry instance goes away: its outcome would not be known (H12).
func TestOnceGoesOn(t *testing.T) {
	check := is.New(t)
	w, o := newWorld(t), order()
	started, finish := make(chan struct{}), make(chan struct{})
	outcome := make(chan error, 1)
	w.do = func(ctx context.Context, _ int) (engine.Response, error) {
		close(started)
		<-finish
		outcome <- ctx.Err()
		return engine.Response{Status: http.StatusOK, Body: []byte("sold")}, nil
	}
	o.Checkpoint, o.Route, o.Once, o.IdempotencyKey = "", "buy", true, "k"
	o.Attempt = "0197f4a0-0000-7000-8000-000000000001"
	ctx, leave := context.WithCancel(context.Background())
	client, err := work.NewClient()
	check.NoErr(err)
	go func() {
		<-started
		leave()
		found, err := w.agent.cancel(context.Background(), work.Cancel{Attempt: o.Attempt})
		if err != nil || found.Found {
			outcome <- errkind.New(errkind.Internal, "the call was cancelled")
		}
		close(finish)
	}()
	w.turn.Add(1)
	_, _ = client.Run(ctx, w.addr, o, &kept{})
	check.NoErr(<-outcome)
}
