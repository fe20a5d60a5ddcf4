package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cow"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// TestAttempts guards against a repeated effect and against a refusal that
// says "not run" although an earlier attempt may have run (H11).
func TestAttempts(t *testing.T) {
	no := errkind.New(errkind.UpstreamUnavailable, "left")
	unknown := errkind.New(errkind.UpstreamFailed, "broken")
	crashed := errkind.New(errkind.UpstreamCrashed, "crashed")
	rows := []struct {
		name     string
		failures []*errkind.Error
		attempts int
		ran      errkind.Ran
	}{
		{"not run", []*errkind.Error{no}, 2, ""},
		{"never run", []*errkind.Error{no, no, no}, 3, errkind.RanNo},
		{"ambiguous", []*errkind.Error{unknown}, 2, ""},
		{"ambiguous twice", []*errkind.Error{unknown, unknown}, 2, errkind.RanUnknown},
		{"ambiguous after a refusal", []*errkind.Error{no, unknown}, 2, errkind.RanUnknown},
		{"refused after an ambiguous failure", []*errkind.Error{unknown, no, no}, 3, errkind.RanUnknown},
		{"crashed", []*errkind.Error{crashed}, 1, errkind.RanUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			w := newWorld(t)
			w.answer(func(ctx context.Context, n int, o work.AttemptRequest, s work.Sink) (work.End, error) {
				if n <= len(row.failures) {
					return work.End{}, row.failures[n-1]
				}
				return whole(ctx, n, o, s)
			})
			r := w.send(t, http.MethodPost, completions, `{"model":"m"}`, nil)
			check.Equal(len(w.sent()), row.attempts)
			check.Equal(r.Error.Ran, row.ran)
			check.Equal(len(w.charged()), 1)
			check.Equal(w.charged()[0] == 0, row.ran == errkind.RanNo) // only what never ran is free
		})
	}
}

// TestFullQueue guards against a charge for a request that was refused before
// its dispatch.
func TestFullQueue(t *testing.T) {
	for _, path := range []string{completions, "/svc/svc/x", "/svc/buy/x"} {
		check := is.New(t)
		w := newWorld(t)
		w.mu.Lock()
		w.full = true
		w.mu.Unlock()
		r := w.send(t, http.MethodPost, path, `{"model":"m"}`, map[string]string{headerIdempotencyKey: "0197f4a0-0000-7000-8000-000000000001"})
		check.Equal(r.Error.Kind, errkind.QueueFull)
		check.Equal(r.Error.Ran, errkind.RanNo)
		check.Equal(w.charged(), []float64{0})
		check.Equal(len(w.sent()), 0)
	}
}

// TestCutStream guards against a stream that was cut and passes for whole
// (H10), and against an attempt after a part of the answer was sent.
func TestCutStream(t *testing.T) {
	check := is.New(t)
	w := newWorld(t)
	w.answer(func(_ context.Context, _ int, _ work.AttemptRequest, s work.Sink) (work.End, error) {
		check.NoErr(s.Data([]byte(`{"n":1}`)))
		return work.End{}, errkind.New(errkind.StreamCut, "cut")
	})
	r := w.send(t, http.MethodPost, completions, `{"model":"m","stream":true}`, nil)
	check.True(strings.Contains(r.body, "event:error") || strings.Contains(r.body, "event: error"))
	check.True(!strings.Contains(r.body, "[DONE]"))
	check.Equal(len(w.sent()), 1)
	check.Equal(w.charged(), []float64{1})
}

// TestEmptyStream guards against a stream without chunks that ends without
// its final marker, so that a caller takes it for cut.
func TestEmptyStream(t *testing.T) {
	check := is.New(t)
	w := newWorld(t)
	w.answer(func(_ context.Context, _ int, o work.AttemptRequest, _ work.Sink) (work.End, error) {
		return work.End{Attempt: o.Attempt}, nil
	})
	r := w.send(t, http.MethodPost, completions, `{"model":"m","stream":true}`, nil)
	check.Equal(r.status, http.StatusOK)
	check.True(strings.Contains(r.body, "[DONE]"))
}

// TestEngineRefusal guards against an engine's own refusal of a streamed
// request that reaches the caller as another status, or is charged.
func TestEngineRefusal(t *testing.T) {
	check := is.New(t)
	w := newWorld(t)
	w.answer(func(_ context.Context, _ int, o work.AttemptRequest, s work.Sink) (work.End, error) {
		err := s.WholeResponse(work.WholeResponse{Status: http.StatusBadRequest, ContentType: "application/json", Body: []byte(`{"error":{"message":"bad"}}`)})
		return work.End{Attempt: o.Attempt}, err
	})
	r := w.send(t, http.MethodPost, completions, `{"model":"m","stream":true}`, nil)
	check.Equal(r.status, http.StatusBadRequest)
	check.Equal(r.body, `{"error":{"message":"bad"}}`)
	check.Equal(w.charged(), []float64{0})
}

// TestWithdrawnKey guards against a key that works on after its withdrawal:
// on an open stream and for a request that has not been dispatched yet (H6).
func TestWithdrawnKey(t *testing.T) {
	withdraw := func(w *world) {
		v := *w.View()
		v.Keys = cow.FromMap(map[string]config.Key{})
		w.view.Store(&v)
	}
	t.Run("open stream", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t)
		w.answer(func(_ context.Context, _ int, _ work.AttemptRequest, s work.Sink) (work.End, error) {
			check.NoErr(s.Data([]byte(`{}`)))
			withdraw(w)
			return work.End{}, s.Check()
		})
		r := w.send(t, http.MethodPost, completions, `{"model":"m","stream":true}`, nil)
		check.True(strings.Contains(r.body, string(errkind.KeyWithdrawn)))
		check.True(!strings.Contains(r.body, "[DONE]"))
	})
	t.Run("before the second attempt", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t)
		w.answer(func(context.Context, int, work.AttemptRequest, work.Sink) (work.End, error) {
			withdraw(w)
			return work.End{}, errkind.New(errkind.UpstreamUnavailable, "left")
		})
		r := w.send(t, http.MethodPost, completions, `{"model":"m"}`, nil)
		check.Equal(r.Error.Kind, errkind.KeyWithdrawn)
		check.Equal(r.Error.Ran, errkind.RanNo)
		check.Equal(len(w.sent()), 1)
	})
}

// TestKeyStaysHere guards against an order that carries the caller's key (H5).
func TestKeyStaysHere(t *testing.T) {
	check := is.New(t)
	w := newWorld(t)
	for _, path := range []string{completions, "/svc/svc/x", "/svc/open/x"} {
		check.Equal(w.send(t, http.MethodPost, path, `{"model":"m"}`, nil).status, http.StatusOK)
	}
	for _, o := range w.sent() {
		data, err := json.Marshal(o)
		check.NoErr(err)
		check.True(!strings.Contains(string(data), ownKey))
	}
	check.Equal(w.sent()[2].Team, "") // an open route runs for no team
}

// TestLookUp guards against a look-up of another team's call (H4).
func TestLookUp(t *testing.T) {
	check := is.New(t)
	w := newWorld(t)
	const path = "/v1/requests/0197f4a0-0000-7000-8000-000000000001"
	w.send(t, http.MethodGet, path, "", nil)
	w.send(t, http.MethodGet, path, "", map[string]string{"Authorization": bearer + otherKey})
	w.mu.Lock()
	defer w.mu.Unlock()
	check.Equal(len(w.looked), 2)
	check.Equal(w.looked[0].Team, "own")
	check.Equal(w.looked[1].Team, "other")
}

// TestDrain guards against a planned stop that cuts a running request, look-ups
// included, or takes new ones (H14).
func TestDrain(t *testing.T) {
	check := is.New(t)
	w := newWorld(t)
	during := make(chan reply, 2)
	w.answer(func(ctx context.Context, n int, o work.AttemptRequest, s work.Sink) (work.End, error) {
		stopped, stop := context.WithCancel(ctx)
		stop()
		running, err := w.entry.Lifecycle.Drain(stopped)
		check.NoErr(err)
		check.Equal(running, int64(1))
		during <- w.send(t, http.MethodPost, completions, `{"model":"m"}`, nil)
		during <- w.send(t, http.MethodGet, "/v1/requests/0197f4a0-0000-7000-8000-000000000001", "", nil)
		return whole(ctx, n, o, s)
	})
	check.Equal(w.send(t, http.MethodPost, completions, `{"model":"m"}`, nil).status, http.StatusOK)
	for range 2 {
		check.Equal((<-during).Error.Kind, errkind.Draining)
	}
	check.Equal(w.entry.Lifecycle.Running(), int64(0))
}
