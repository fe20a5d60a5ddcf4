package gateway_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestEstimateLogged guards against an estimate whose error cannot be seen in the log, and
// against a load that is ignored without a line or with a line for each response.
func TestEstimateLogged(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, respond(200, "ok", "Jacinthbend-Server-Load: 1,2,3,4,5"))
	_ = env.send("GET", "/safe/", "")
	_ = env.send("GET", "/safe/", "")
	env.waitIdle()
	entries := logEntriesOfR1(env.logs, "upstream states a load that cannot be decoded")
	check.Equal(len(entries), 1)
	check.Equal(entries[0]["load"], "1,2,3,4,5")

	env = newEnv(t, chunkedStream(true, event1))
	_ = env.send("POST", "/stream/", "x")
	env.waitIdle()
	entries = logEntriesOfR1(env.logs, "request served")
	check.Equal(len(entries), 1)
	for _, field := range []string{"header_after", "estimate", "uncached", "pending", "running", "queued", "upstream_factor", "model_factor", "work_time", "longest_pause"} {
		check.True(entries[0][field] != nil)
	}
}
