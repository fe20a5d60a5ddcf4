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

// TestWithdrawnKey guards H6 and H5: a withdrawn key must end an open stream
// and refuse new requests at every entry instance within the bound, and no
// upstream may ever have seen it.
func TestWithdrawnKey(t *testing.T) {
	f := start(t, nil)
	open := make(chan answer, 1)
	go func() { open <- f.post(f.Entries[0], "/v1/completions", completion("story", 1000, true), nil) }()
	f.eventually(startTime, "the stream runs", func() bool { return f.Engines[0].Requests()+f.Engines[1].Requests() >= 3 })

	ctx, cancel := context.WithTimeout(t.Context(), startTime)
	defer cancel()
	_, err := f.op.WithdrawKey(ctx, "blue-1", "test", "test-operator")
	f.NoErr(err)
	withdrawn := time.Now()

	cut := <-open
	f.True(time.Since(withdrawn) < force)
	f.True(!cut.whole())
	f.True(strings.Contains(cut.body, string(errkind.KeyWithdrawn)))
	for _, p := range f.Entries {
		f.eventually(force-time.Since(withdrawn), p.Name+" refuses the key", func() bool {
			return f.post(p, "/v1/completions", completion("story", 1, false), nil).status == http.StatusUnauthorized
		})
	}
	for _, e := range f.Engines {
		f.True(!e.ReceivedText(secret))
	}
}

// TestEntryKilledDuringCall guards H12 and F1: an entry instance that is
// killed between the dispatch and the answer of a call that may not be
// repeated must not lead to a second execution when the caller retries through
// another one, and the retry must get the answer of the first execution.
func TestEntryKilledDuringCall(t *testing.T) {
	f := start(t, nil)
	key := map[string]string{"Idempotency-Key": newKey(t)}
	first := make(chan answer, 1)
	go func() { first <- f.post(f.Entries[0], "/svc/orders/buy", "one candle", key) }()
	executed := func() bool {
		n, _ := f.Services[0].Executions(key["Idempotency-Key"])
		return n == 1
	}
	f.eventually(startTime, "the call runs", executed)
	f.NoErr(f.Entries[0].Kill())
	f.True((<-first).err != nil) // the caller's connection broke without an answer

	var retry answer
	f.eventually(startTime, "the retry is answered", func() bool {
		retry = f.post(f.Entries[1], "/svc/orders/buy", "one candle", key)
		return retry.status == http.StatusOK
	})
	var receipt standin.Receipt
	f.NoErr(json.Unmarshal([]byte(retry.body), &receipt))
	f.Equal(receipt.IdempotencyKey, key["Idempotency-Key"])
	f.Equal(receipt.Execution, 1)
	f.True(executed())

	other := f.post(f.Entries[1], "/svc/orders/buy", "two candles", key)
	f.Equal(other.refusal.Kind, errkind.KeyReused)
	f.True(executed())
}

// TestLogOutage guards the service during a log outage (F6): streams go on,
// keys are accepted and models wake; a call that may not be repeated is
// refused and truly not run (H11).
func TestLogOutage(t *testing.T) {
	f := start(t, nil)
	open := make(chan answer, 1)
	go func() { open <- f.post(f.Entries[0], "/v1/completions", completion("story", 400, true), nil) }()
	f.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	outage := time.Now()
	// Longer than ViewBound, so that only a confirmed outage keeps the view young.
	f.eventually(startTime, "the outage lasts", func() bool { return time.Since(outage) > 5*time.Second })

	wake := f.post(f.Entries[1], "/v1/completions", completion("verse", 3, true), nil)
	f.Equal(wake.status, http.StatusOK)
	f.True(wake.whole())
	call := newKey(t)
	refused := f.post(f.Entries[0], "/svc/orders/buy", "one candle", map[string]string{"Idempotency-Key": call, "X-Request-Deadline-Ms": "3000"})
	f.Equal(refused.refusal.Ran, errkind.RanNo)
	f.True((<-open).whole())

	f.Platform.Log.SetFaults(standin.LogFaults{})
	f.eventually(startTime, "the call runs after the outage", func() bool {
		return f.post(f.Entries[0], "/svc/orders/buy", "one candle", map[string]string{"Idempotency-Key": call}).status == http.StatusOK
	})
	n, _ := f.Services[0].Executions(call)
	f.Equal(n, 1)
}

// TestPausedAgent guards F8: an agent that was paused while the fleet ended
// its incarnation must not run work under it when it resumes, and requests
// must be served elsewhere or refused in time meanwhile (H3).
func TestPausedAgent(t *testing.T) {
	f := start(t, nil)
	paused := f.holder(t, "story")
	f.NoErr(f.Agents[paused].Signal(syscall.SIGSTOP))
	before := f.Engines[paused].Requests()
	sent := time.Now()
	a := f.post(f.Entries[0], "/v1/completions", completion("story", 1, false), map[string]string{"X-Request-Deadline-Ms": "5000"})
	f.True(time.Since(sent) < 7*time.Second)
	f.True(a.status == http.StatusOK || a.refusal.Kind != "")
	f.NoErr(f.Agents[paused].Signal(syscall.SIGCONT))
	if a.status != http.StatusOK && a.refusal.Ran == errkind.RanNo {
		f.Equal(f.Engines[paused].Requests(), before) // a refusal that says "not run" is true (H11)
	}
	f.eventually(startTime, "the model is served again", func() bool {
		return f.post(f.Entries[0], "/v1/completions", completion("story", 1, false), nil).status == http.StatusOK
	})
}

// holder returns the index of the engine that serves the model.
func (f *testFleet) holder(t *testing.T, model string) int {
	t.Helper()
	counts := []int64{f.Engines[0].Requests(), f.Engines[1].Requests()}
	f.Equal(f.post(f.Entries[0], "/v1/completions", completion(model, 1, false), nil).status, http.StatusOK)
	if f.Engines[0].Requests() > counts[0] {
		return 0
	}
	return 1
}

// TestDrain guards H14: SIGTERM of an agent and of an entry instance must cut
// no running stream, and both must exit with status 0.
func TestDrain(t *testing.T) {
	f := start(t, nil)
	agent := f.holder(t, "story")
	open := make(chan answer, 1)
	before := f.Engines[agent].Requests()
	go func() { open <- f.post(f.Entries[0], "/v1/completions", completion("story", 150, true), nil) }()
	f.eventually(startTime, "the stream runs", func() bool { return f.Engines[agent].Requests() > before })
	ends := make(chan error, 2)
	go func() { ends <- f.Agents[agent].Stop(startTime) }()
	go func() { ends <- f.Entries[0].Stop(startTime) }()
	f.True((<-open).whole())
	f.NoErr(<-ends)
	f.NoErr(<-ends)
}
