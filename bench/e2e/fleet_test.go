// Package e2e runs the entry and agent binaries on loopback and injects faults
// into them.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const (
	secret = "jb_test_secret_of_team_blue_0123456789abcdef"
	// propagationBound is the time within which a change must be in force everywhere.
	propagationBound = 4 * time.Second
	// startTimeout bounds joining, the budgets' takeover wait and the first load.
	startTimeout = 30 * time.Second
)

var binaries fleet.Binaries

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "jacinthbend-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries, err = fleet.Build(context.Background(), dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// document is the configuration of the test fleet.
func document() config.Document {
	return config.Document{
		Teams:       map[string]config.Team{"blue": {RateTokensPerS: 5000, BurstTokens: 50000}},
		Keys:        map[string]config.Key{"blue-1": {Team: "blue", SHA256: fleet.HashKey(secret)}},
		DataCentres: map[string]config.DataCentre{"dc-a": {Region: "r1"}, "dc-b": {Region: "r1"}},
		Pools: map[string]config.Pool{
			fleet.PoolEngines:  {Kind: config.PoolEngine, MemoryMiB: 8192, ChecksFencing: true},
			fleet.PoolServices: {Kind: config.PoolService},
		},
		Models: map[string]config.Model{
			"story": {Pool: fleet.PoolEngines, MemoryMiB: 1024, MaxReplicas: 1},
			"verse": {Pool: fleet.PoolEngines, MemoryMiB: 1024, MaxReplicas: 1},
			"saga":  {Pool: fleet.PoolEngines, MemoryMiB: 1024, MaxReplicas: 3},
		},
		Routes: map[string]config.Route{"orders": {Pool: fleet.PoolServices}},
	}
}

// testFleet is a running fleet with an operator client and the assertions of the
// test.
type testFleet struct {
	*fleet.Fleet
	*is.I
	op *fleet.Operator
}

// start starts a fleet, publishes document and waits until every entry instance
// serves. change may adapt the options.
func start(t *testing.T, change func(*fleet.Options)) *testFleet {
	t.Helper()
	is := is.New(t)
	o := fleet.Options{
		Binaries: binaries, Dir: t.TempDir(), DataCentres: []string{"dc-a", "dc-b"}, Entries: 2, Engines: 2, Services: 1,
		Engine:       standin.EngineOptions{MemoryMiB: 8192, TokenInterval: 20 * time.Millisecond, ChecksFencing: true},
		ServiceDelay: 1500 * time.Millisecond, LoadsPerS: 4, MaxLoads: 4, FetchTime: 100 * time.Millisecond,
		LogLevel: "info", DrainTimeoutS: 20,
	}
	if change != nil {
		change(&o)
	}
	f, err := fleet.Start(o)
	is.NoErr(err)
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range append(f.Entries, f.Agents...) {
				t.Logf("--- %s\n%s", p.Name, p.Log())
			}
		}
		f.Close()
	})
	op, err := f.NewOperator()
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	_, err = op.PublishDocument(ctx, document(), "test fleet")
	is.NoErr(err)
	tf := &testFleet{Fleet: f, I: is, op: op}
	for _, p := range f.Entries {
		tf.eventually(startTimeout, p.Name+" serves", func() bool {
			return tf.post(p, "/v1/completions", completion("story", 1, false), nil).status == http.StatusOK
		})
	}
	return tf
}

// eventually polls until done returns true, and fails the test once the bound has
// passed.
func (f *testFleet) eventually(bound time.Duration, what string, done func() bool) {
	f.Helper()
	deadline := time.Now().Add(bound)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		if time.Now().After(deadline) {
			f.Fail() // the expected state was not reached within the bound
			panic(what)
		}
		<-tick.C
	}
}

// answer is what a caller received.
type answer struct {
	status  int
	body    string
	refusal errkind.BodyError
	err     error
}

// complete reports whether a stream ended with its final event.
func (a answer) complete() bool { return strings.Contains(a.body, "data: [DONE]") }

func completion(model string, tokens int, stream bool) map[string]any {
	return map[string]any{"model": model, "prompt": "hello", "max_tokens": tokens, "stream": stream}
}

func newIdempotencyKey(t *testing.T) string {
	key, err := uuid.NewV7()
	is.New(t).NoErr(err)
	return key.String()
}

func (f *testFleet) post(p *fleet.Process, path string, body any, headers map[string]string) answer {
	data, err := json.Marshal(body)
	f.NoErr(err)
	req, err := http.NewRequest(http.MethodPost, "http://"+p.CallerAddr+path, bytes.NewReader(data))
	f.NoErr(err)
	return send(req, headers)
}

func send(req *http.Request, headers map[string]string) answer {
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(data), err: err}
	var b errkind.Body
	if json.Unmarshal(data, &b) == nil {
		a.refusal = b.Error
	}
	return a
}
