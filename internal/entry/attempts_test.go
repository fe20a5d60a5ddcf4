package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// TestAttempts guards against too many attempts, which can repeat a request's
// effect, and against an error that says "not run" although an earlier attempt
// may have run (H11).
func TestAttempts(t *testing.T) {
	notRun := errkind.New(errkind.UpstreamUnavailable, "left")
	maybeRan := errkind.New(errkind.UpstreamFailed, "broken")
	crashed := errkind.New(errkind.UpstreamCrashed, "crashed")
	rows := []struct {
		name     string
		failures []*errkind.Error
		attempts int
		ran      errkind.Ran
	}{
		{"not run", []*errkind.Error{notRun}, 2, ""},
		{"never run", []*errkind.Error{notRun, notRun, notRun}, 3, errkind.RanNo},
		{"ambiguous", []*errkind.Error{maybeRan}, 2, ""},
		{"ambiguous twice", []*errkind.Error{maybeRan, maybeRan}, 2, errkind.RanUnknown},
		{"ambiguous after a refusal", []*errkind.Error{notRun, maybeRan}, 2, errkind.RanUnknown},
		{"refused after an ambiguous failure", []*errkind.Error{maybeRan, notRun, notRun}, 3, errkind.RanUnknown},
		{"crashed", []*errkind.Error{crashed}, 1, errkind.RanUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			env := newTestEnv(t)
			env.setRun(func(ctx context.Context, n int, r dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error) {
				if n <= len(row.failures) {
					return dispatch.End{}, row.failures[n-1]
				}
				return okResponse(ctx, n, r, s)
			})
			r := env.send(t, http.MethodPost, completionsPath, `{"model":"m"}`, nil)
			check.Equal(len(env.sentRequests()), row.attempts)
			check.Equal(r.Error.Ran, row.ran)
			check.Equal(len(env.chargedTokens()), 1)
			check.Equal(env.chargedTokens()[0] == 0, row.ran == errkind.RanNo) // only a request that never ran is free
		})
	}
}

// TestQueueFull guards against a charge for a request that the full queue refused
// before its dispatch.
func TestQueueFull(t *testing.T) {
	for _, path := range []string{completionsPath, "/svc/svc/x", "/svc/buy/x"} {
		check := is.New(t)
		env := newTestEnv(t)
		env.mu.Lock()
		env.queueFull = true
		env.mu.Unlock()
		r := env.send(t, http.MethodPost, path, `{"model":"m"}`, map[string]string{headerIdempotencyKey: "0197f4a0-0000-7000-8000-000000000001"})
		check.Equal(r.Error.Kind, errkind.QueueFull)
		check.Equal(r.Error.Ran, errkind.RanNo)
		check.Equal(env.chargedTokens(), []float64{0})
		check.Equal(len(env.sentRequests()), 0)
	}
}

// TestCutStream guards against a cut stream that ends like a complete one (H10),
// and against a retry after a part of the response was sent to the caller.
func TestCutStream(t *testing.T) {
	check := is.New(t)
	env := newTestEnv(t)
	env.setRun(func(_ context.Context, _ int, _ dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error) {
		check.NoErr(s.Data([]byte(`{"n":1}`)))
		return dispatch.End{}, errkind.New(errkind.StreamCut, "cut")
	})
	r := env.send(t, http.MethodPost, completionsPath, `{"model":"m","stream":true}`, nil)
	check.True(strings.Contains(r.body, "event:error") || strings.Contains(r.body, "event: error"))
	check.True(!strings.Contains(r.body, "[DONE]"))
	check.Equal(len(env.sentRequests()), 1)
	check.Equal(env.chargedTokens(), []float64{1})
}

// TestEmptyStream guards against a stream without chunks that ends without the
// final marker, which callers take as a cut stream.
func TestEmptyStream(t *testing.T) {
	check := is.New(t)
	env := newTestEnv(t)
	env.setRun(func(_ context.Context, _ int, r dispatch.AttemptRequest, _ dispatch.Sink) (dispatch.End, error) {
		return dispatch.End{Attempt: r.Attempt}, nil
	})
	r := env.send(t, http.MethodPost, completionsPath, `{"model":"m","stream":true}`, nil)
	check.Equal(r.status, http.StatusOK)
	check.True(strings.Contains(r.body, "[DONE]"))
}

// TestEngineRefusal covers a streamed request that the engine refuses with an
// HTTP error. It guards against a changed status or body, and against a charge.
func TestEngineRefusal(t *testing.T) {
	check := is.New(t)
	env := newTestEnv(t)
	env.setRun(func(_ context.Context, _ int, r dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error) {
		err := s.WholeResponse(dispatch.WholeResponse{Status: http.StatusBadRequest, ContentType: "application/json", Body: []byte(`{"error":{"message":"bad"}}`)})
		return dispatch.End{Attempt: r.Attempt}, err
	})
	r := env.send(t, http.MethodPost, completionsPath, `{"model":"m","stream":true}`, nil)
	check.Equal(r.status, http.StatusBadRequest)
	check.Equal(r.body, `{"error":{"message":"bad"}}`)
	check.Equal(env.chargedTokens(), []float64{0})
}

// TestWithdrawnKey guards against a withdrawn key that stays valid for an open
// stream or for the second attempt of a request (H6).
func TestWithdrawnKey(t *testing.T) {
	withdraw := func(env *testEnv) {
		v := *env.View()
		v.Keys = cowmap.FromMap(map[string]config.Key{})
		env.view.Store(&v)
	}
	t.Run("open stream", func(t *testing.T) {
		check := is.New(t)
		env := newTestEnv(t)
		env.setRun(func(_ context.Context, _ int, _ dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error) {
			check.NoErr(s.Data([]byte(`{}`)))
			withdraw(env)
			return dispatch.End{}, s.Check()
		})
		r := env.send(t, http.MethodPost, completionsPath, `{"model":"m","stream":true}`, nil)
		check.True(strings.Contains(r.body, string(errkind.KeyWithdrawn)))
		check.True(!strings.Contains(r.body, "[DONE]"))
	})
	t.Run("before the second attempt", func(t *testing.T) {
		check := is.New(t)
		env := newTestEnv(t)
		env.setRun(func(context.Context, int, dispatch.AttemptRequest, dispatch.Sink) (dispatch.End, error) {
			withdraw(env)
			return dispatch.End{}, errkind.New(errkind.UpstreamUnavailable, "left")
		})
		r := env.send(t, http.MethodPost, completionsPath, `{"model":"m"}`, nil)
		check.Equal(r.Error.Kind, errkind.KeyWithdrawn)
		check.Equal(r.Error.Ran, errkind.RanNo)
		check.Equal(len(env.sentRequests()), 1)
	})
}

// TestRequestOmitsCallerKey guards against an attempt request that carries the
// caller's API key (H5).
func TestRequestOmitsCallerKey(t *testing.T) {
	check := is.New(t)
	env := newTestEnv(t)
	for _, path := range []string{completionsPath, "/svc/svc/x", "/svc/open/x"} {
		check.Equal(env.send(t, http.MethodPost, path, `{"model":"m"}`, nil).status, http.StatusOK)
	}
	for _, r := range env.sentRequests() {
		data, err := json.Marshal(r)
		check.NoErr(err)
		check.True(!strings.Contains(string(data), ownKey))
	}
	check.Equal(env.sentRequests()[2].Team, "") // an open route runs for no team
}

// TestLookupIdentifiesTeam guards against a lookup of another team's call: the
// lookup must use the team of the caller's key (H4).
func TestLookupIdentifiesTeam(t *testing.T) {
	check := is.New(t)
	env := newTestEnv(t)
	const path = "/v1/requests/0197f4a0-0000-7000-8000-000000000001"
	env.send(t, http.MethodGet, path, "", nil)
	env.send(t, http.MethodGet, path, "", map[string]string{"Authorization": bearerPrefix + otherKey})
	env.mu.Lock()
	defer env.mu.Unlock()
	check.Equal(len(env.lookups), 2)
	check.Equal(env.lookups[0].Team, "own")
	check.Equal(env.lookups[1].Team, "other")
}

// TestDrain guards against a planned stop that cuts a running request or accepts
// new requests, lookups included (H14).
func TestDrain(t *testing.T) {
	check := is.New(t)
	env := newTestEnv(t)
	during := make(chan response, 2)
	env.setRun(func(ctx context.Context, n int, r dispatch.AttemptRequest, s dispatch.Sink) (dispatch.End, error) {
		stopped, stop := context.WithCancel(ctx)
		stop()
		running, err := env.entry.Lifecycle.Drain(stopped)
		check.NoErr(err)
		check.Equal(running, int64(1))
		during <- env.send(t, http.MethodPost, completionsPath, `{"model":"m"}`, nil)
		during <- env.send(t, http.MethodGet, "/v1/requests/0197f4a0-0000-7000-8000-000000000001", "", nil)
		return okResponse(ctx, n, r, s)
	})
	check.Equal(env.send(t, http.MethodPost, completionsPath, `{"model":"m"}`, nil).status, http.StatusOK)
	for range 2 {
		check.Equal((<-during).Error.Kind, errkind.Draining)
	}
	check.Equal(env.entry.Lifecycle.Running(), int64(0))
}
