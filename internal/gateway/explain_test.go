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
	t.Run("over its rate", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, whole(200, "ok"))
		_ = w.send("GET", "/safe/", "", "X-Api-Key: poor")
		_ = w.send("GET", "/safe/", "", "X-Api-Key: poor")
		w.waitIdle()
		last := about(w.logs, "request not served")
		check.Equal(len(last), 1)
		check.Equal(last[0]["kind"], "over_rate")
		why := about(w.logs, "team over its rate")
		check.Equal(len(why), 1)
		check.Equal(why[0]["team"], "poor")
		check.True(why[0]["free"].(float64) < why[0]["tokens"].(float64))
	})
	t.Run("stream cut", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, chunks(false, event1))
		_ = w.send("POST", "/stream/", "x")
		w.waitIdle()
		last := about(w.logs, "request not served")
		check.Equal(len(last), 1)
		check.Equal(last[0]["kind"], "stream_cut")
		why := about(w.logs, "stream broke")
		check.Equal(len(why), 1)
		check.Equal(why[0]["upstream"], "i-0")
		check.True(why[0]["error"] != "")
	})
	t.Run("no load", func(t *testing.T) {
		check := is.New(t)
		w := newWorld(t, chunks(true, event1))
		w.engines()
		w.loader.fail(net.ErrClosed)
		_ = w.send("POST", "/model/", "x", "Jacinthbend-Model: m/a1")
		w.waitIdle()
		last := about(w.logs, "request not served")
		check.Equal(len(last), 1)
		check.Equal(last[0]["kind"], "upstream_unavailable")
		why := about(w.logs, "agent did not load")
		check.Equal(len(why), 1)
		check.Equal(why[0]["upstream"], "i-0")
	})
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
