package gateway_test

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// about returns the log lines of request r1 with the given message.
func about(logs *observer.ObservedLogs, message string) []map[string]any {
	var out []map[string]any
	for _, e := range logs.FilterMessage(message).All() {
		if m := e.ContextMap(); m["request"] == "r1" {
			out = append(out, m)
		}
	}
	return out
}

// TestExplain follows the path of docs/OPERATIONS.md from the id of a failed
// request to its cause. It guards against a failure that the logs do not explain.
func TestExplain(t *testing.T) {
	for _, row := range []struct {
		name    string
		scripts []script
		// fail makes request r1 fail.
		fail func(w *world)
		// kind is logged at the end, cause is the message that explains it.
		kind, cause string
		fields      func(check *is.I, why map[string]any)
	}{
		{
			"over its rate",
			[]script{whole(200, "ok")},
			func(w *world) {
				_ = w.send("GET", "/safe/", "", "X-Api-Key: poor")
				_ = w.send("GET", "/safe/", "", "X-Api-Key: poor")
			},
			"over_rate", "team over its rate",
			func(check *is.I, why map[string]any) {
				check.Equal(why["team"], "poor")
				check.True(why["free"].(float64) < why["tokens"].(float64))
			},
		},
		{
			"stream cut",
			[]script{chunks(false, event1)},
			func(w *world) { _ = w.send("POST", "/stream/", "x") },
			"stream_cut", "stream broke",
			func(check *is.I, why map[string]any) {
				check.Equal(why["upstream"], "i-0")
				check.True(why["error"] != "")
			},
		},
		{
			"no load",
			[]script{chunks(true, event1)},
			func(w *world) {
				w.engines()
				w.loader.fail(net.ErrClosed)
				_ = w.send("POST", "/model/", "x", "Jacinthbend-Model: m/a1")
			},
			"upstream_unavailable", "agent did not load",
			func(check *is.I, why map[string]any) { check.Equal(why["upstream"], "i-0") },
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			w := newWorld(t, row.scripts...)
			row.fail(w)
			w.waitIdle()
			last := about(w.logs, "request not served")
			check.Equal(len(last), 1)
			check.Equal(last[0]["kind"], row.kind)
			why := about(w.logs, row.cause)
			check.Equal(len(why), 1)
			row.fields(check, why[0])
		})
	}
}

// TestNoKeysInLogs guards against a caller's key in the logs.
func TestNoKeysInLogs(t *testing.T) {
	check := is.New(t)
	w := newWorld(t, hangUp)
	_ = w.send("POST", "/once/", "x")
	_ = w.send("POST", "/once/", "x", "X-Api-Key: secret-key-of-nobody")
	w.waitIdle()
	enc := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"})
	for _, e := range w.logs.All() {
		line, err := enc.EncodeEntry(e.Entry, e.Context)
		check.NoErr(err)
		for _, key := range []string{"secret-key-of-nobody", `"key"`} {
			check.True(!strings.Contains(line.String(), key))
		}
	}
}
