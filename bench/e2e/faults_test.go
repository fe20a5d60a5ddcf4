package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// TestWithdrawnKey checks H6 and H5: once a key is withdrawn, its open stream must
// end, and every entry instance must refuse new requests with it, within the
// propagation bound. No upstream may ever see the key.
func TestWithdrawnKey(t *testing.T) {
	f := start(t, nil)
	open := make(chan answer, 1)
	go func() { open <- f.post(f.Entries[0], "/v1/completions", completion("story", 1000, true), nil) }()
	f.eventually(startTimeout, "the stream is running", func() bool { return f.Engines[0].Requests()+f.Engines[1].Requests() >= 3 })

	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	_, err := f.op.WithdrawKey(ctx, "blue-1", "test", "test-operator")
	f.NoErr(err)
	withdrawnAt := time.Now()

	stream := <-open
	f.True(time.Since(withdrawnAt) < propagationBound)
	f.True(!stream.complete())
	f.True(strings.Contains(stream.body, string(errkind.KeyWithdrawn)))
	for _, p := range f.Entries {
		f.eventually(propagationBound-time.Since(withdrawnAt), p.Name+" refuses the key", func() bool {
			return f.post(p, "/v1/completions", completion("story", 1, false), nil).status == http.StatusUnauthorized
		})
	}
	for _, e := range f.Engines {
		f.True(!e.ReceivedText(secret))
	}
}

// TestEntryKilledDuringCall checks H12 under F1: an entry instance is killed
// between the dispatch and the answer of a non-idempotent call. When the caller
// retries through another entry instance, the call must not be executed a second
// time, and the retry must get the answer of the first execution.
func TestEntryKilledDuringCall(t *testing.T) {
	f := start(t, nil)
	headers := map[string]string{"Idempotency-Key": newIdempotencyKey(t)}
	first := make(chan answer, 1)
	go func() { first <- f.post(f.Entries[0], "/svc/orders/buy", "one candle", headers) }()
	executedOnce := func() bool {
		n, _ := f.Services[0].Executions(headers["Idempotency-Key"])
		return n == 1
	}
	f.eventually(startTimeout, "the call is executed", executedOnce)
	f.NoErr(f.Entries[0].Kill())
	f.True((<-first).err != nil) // the caller's connection broke without an answer

	var retry answer
	f.eventually(startTimeout, "the retry is answered", func() bool {
		retry = f.post(f.Entries[1], "/svc/orders/buy", "one candle", headers)
		return retry.status == http.StatusOK
	})
	var receipt standin.Receipt
	f.NoErr(json.Unmarshal([]byte(retry.body), &receipt))
	f.Equal(receipt.IdempotencyKey, headers["Idempotency-Key"])
	f.Equal(receipt.Execution, 1)
	f.True(executedOnce())

	other := f.post(f.Entries[1], "/svc/orders/buy", "two candles", headers)
	f.Equal(other.refusal.Kind, errkind.KeyReused)
	f.True(executedOnce())
}

// TestLogOutage checks the service during a log outage (F6). Streams continue,
// keys are accepted, and models that are not loaded can be loaded. A
// non-idempotent call is refused and was not executed (H11).
func TestLogOutage(t *testing.T) {
	f := start(t, nil)
	open := make(chan answer, 1)
	go func() { open <- f.post(f.Entries[0], "/v1/completions", completion("story", 400, true), nil) }()
	f.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	outageStart := time.Now()
	// 5 s is longer than ViewBound: the view stays within its age bound only if the
	// outage is confirmed.
	f.eventually(startTimeout, "the outage lasts", func() bool { return time.Since(outageStart) > 5*time.Second })

	coldLoad := f.post(f.Entries[1], "/v1/completions", completion("verse", 3, true), nil)
	f.Equal(coldLoad.status, http.StatusOK)
	f.True(coldLoad.complete())
	key := newIdempotencyKey(t)
	refused := f.post(f.Entries[0], "/svc/orders/buy", "one candle", map[string]string{"Idempotency-Key": key, "X-Request-Deadline-Ms": "3000"})
	f.Equal(refused.refusal.Ran, errkind.RanNo)
	f.True((<-open).complete())

	f.Platform.Log.SetFaults(standin.LogFaults{})
	f.eventually(startTimeout, "the call is served after the outage", func() bool {
		return f.post(f.Entries[0], "/svc/orders/buy", "one candle", map[string]string{"Idempotency-Key": key}).status == http.StatusOK
	})
	n, _ := f.Services[0].Executions(key)
	f.Equal(n, 1)
}

// TestPausedAgent checks F8: an agent is paused, and the fleet ends its
// incarnation meanwhile. When the agent resumes, it must not run work under the
// old incarnation. While it is paused, requests must be served elsewhere or
// refused in time (H3).
func TestPausedAgent(t *testing.T) {
	f := start(t, nil)
	paused := f.servingEngine(t, "story")
	f.NoErr(f.Agents[paused].Signal(syscall.SIGSTOP))
	before := f.Engines[paused].Requests()
	sentAt := time.Now()
	a := f.post(f.Entries[0], "/v1/completions", completion("story", 1, false), map[string]string{"X-Request-Deadline-Ms": "5000"})
	f.True(time.Since(sentAt) < 7*time.Second)
	f.True(a.status == http.StatusOK || a.refusal.Kind != "")
	f.NoErr(f.Agents[paused].Signal(syscall.SIGCONT))
	if a.status != http.StatusOK && a.refusal.Ran == errkind.RanNo {
		f.Equal(f.Engines[paused].Requests(), before) // a refusal with ran "no" must be true (H11)
	}
	f.eventually(startTimeout, "the model is served again", func() bool {
		return f.post(f.Entries[0], "/v1/completions", completion("story", 1, false), nil).status == http.StatusOK
	})
}

// servingEngine sends a request for the model and returns the index of the engine
// that served it.
func (f *testFleet) servingEngine(t *testing.T, model string) int {
	t.Helper()
	counts := []int64{f.Engines[0].Requests(), f.Engines[1].Requests()}
	f.Equal(f.post(f.Entries[0], "/v1/completions", completion(model, 1, false), nil).status, http.StatusOK)
	if f.Engines[0].Requests() > counts[0] {
		return 0
	}
	return 1
}

// TestDrain checks H14: SIGTERM to an agent and to an entry instance must not
// interrupt a running stream, and both must exit with status 0.
func TestDrain(t *testing.T) {
	f := start(t, nil)
	agent := f.servingEngine(t, "story")
	open := make(chan answer, 1)
	before := f.Engines[agent].Requests()
	go func() { open <- f.post(f.Entries[0], "/v1/completions", completion("story", 150, true), nil) }()
	f.eventually(startTimeout, "the stream is running", func() bool { return f.Engines[agent].Requests() > before })
	exits := make(chan error, 2)
	go func() { exits <- f.Agents[agent].Stop(startTimeout) }()
	go func() { exits <- f.Entries[0].Stop(startTimeout) }()
	f.True((<-open).complete())
	f.NoErr(<-exits)
	f.NoErr(<-exits)
}
