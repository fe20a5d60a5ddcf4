package gateway_test

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthbend/jacinthbend/internal/quarantine"
)

// logEntriesOfR1 returns the log entries of request r1 with the given message.
func logEntriesOfR1(logs *observer.ObservedLogs, message string) []map[string]any {
	var out []map[string]any
	for _, e := range logs.FilterMessage(message).All() {
		if m := e.ContextMap(); m["request"] == "r1" {
			out = append(out, m)
		}
	}
	return out
}

// TestExplain guards against a failed request whose cause is not in the logs. It
// searches them by the id of the request, as docs/OPERATIONS.md describes.
func TestExplain(t *testing.T) {
	for _, row := range []struct {
		name    string
		scripts []script
		// fail makes request r1 fail.
		fail func(env *testEnv)
		// kind is logged when the request ends; cause is the message of the log entry
		// that explains it.
		kind, cause string
		fields      func(check *is.I, entry map[string]any)
	}{
		{
			"over the rate limit",
			[]script{respond(200, "ok")},
			func(env *testEnv) {
				_ = env.send("GET", "/safe/", "", "X-Api-Key: poor")
				_ = env.send("GET", "/safe/", "", "X-Api-Key: poor")
			},
			"over_rate", "team over its rate limit",
			func(check *is.I, entry map[string]any) {
				check.Equal(entry["team"], "poor")
				check.True(entry["free"].(float64) < entry["tokens"].(float64))
			},
		},
		{
			"stream interrupted",
			[]script{chunkedStream(false, event1)},
			func(env *testEnv) { _ = env.send("POST", "/stream/", "x") },
			"stream_cut", "stream interrupted",
			func(check *is.I, entry map[string]any) {
				check.Equal(entry["upstream"], "i-0")
				check.True(entry["error"] != "")
				check.Equal(entry["crashed"], false)
				check.Equal(entry["crash_check"], "upstream does not refuse connections")
			},
		},
		{
			"upstream crashed",
			[]script{crash(chunkedStream(false, event1))},
			func(env *testEnv) {
				_ = env.send("POST", "/stream/", "x", "Jacinthbend-Prompt-Prefix: aa:5,bb:6")
			},
			"stream_cut", "stream interrupted",
			func(check *is.I, entry map[string]any) {
				check.Equal(entry["crashed"], true)
				check.Equal(entry["crash_check"], "crashed")
				content := entry["content"].([]quarantine.Suspect)
				check.Equal(content[:2], []quarantine.Suspect{"part/aa", "part/bb"})
				check.Equal(len(content), 3)
			},
		},
		{
			"load failed",
			[]script{chunkedStream(true, event1)},
			func(env *testEnv) {
				env.useEngines()
				env.loader.setErr(net.ErrClosed)
				_ = env.send("POST", "/model/", "x", "Jacinthbend-Model: m/a1")
			},
			"upstream_unavailable", "agent failed to load the model",
			func(check *is.I, entry map[string]any) { check.Equal(entry["upstream"], "i-0") },
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, row.scripts...)
			row.fail(env)
			env.waitIdle()
			last := logEntriesOfR1(env.logs, "request not served")
			check.Equal(len(last), 1)
			check.Equal(last[0]["kind"], row.kind)
			entry := logEntriesOfR1(env.logs, row.cause)
			check.Equal(len(entry), 1)
			row.fields(check, entry[0])
		})
	}
}

// TestNoKeysInLogs guards against the logging of callers' keys.
func TestNoKeysInLogs(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, closeWithoutResponse)
	_ = env.send("POST", "/once/", "x")
	_ = env.send("POST", "/once/", "x", "X-Api-Key: secret-key-of-nobody")
	env.waitIdle()
	enc := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"})
	for _, e := range env.logs.All() {
		line, err := enc.EncodeEntry(e.Entry, e.Context)
		check.NoErr(err)
		for _, key := range []string{"secret-key-of-nobody", `"key"`} {
			check.True(!strings.Contains(line.String(), key))
		}
	}
}
