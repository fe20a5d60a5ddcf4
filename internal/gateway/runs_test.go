package gateway_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// runCounter counts runs by team.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *runCounter) Ran(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[team]++
}

// TestRunsCounted guards against usage reports that count a request which no upstream ran, or a run
// twice or not at all.
func TestRunsCounted(t *testing.T) {
	event := "id: e1\ndata: x\n\n"
	// Events that do not fit into one read are relayed one after the other.
	long := "id: e2\ndata: " + strings.Repeat("x", 64<<10) + "\n\n"
	for _, row := range []struct {
		name, path string
		first      script
		runs       int
	}{
		{"plain", "/safe/", respond(200, "ok"), 1},
		{"refused by the upstream", "/safe/", respond(404, "no"), 1},
		{"error and retry", "/safe/", respond(500, "oops"), 2},
		{"not run and retry", "/safe/", notExecuted(503), 1},
		{"no response and retry", "/safe/", closeWithoutResponse, 1},
		{"no response", "/once/", closeWithoutResponse, 0},
		{"stream of several events", "/stream/", chunkedStream(true, event, event), 1},
		{"stream that is read in parts", "/stream/", chunkedStream(true, event, long), 1},
		{"stream without an event", "/stream/", chunkedStream(false, "id: e1\n"), 0},
		{"resumed stream", "/resume/", chunkedStream(false, event), 2},
		{"without a team", "/public/", respond(200, "ok"), 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			second := respond(200, "second")
			if row.path == "/resume/" {
				second = chunkedStream(true, "id: e2\ndata: x\n\n")
			}
			env := newEnv(t, row.first, second)
			_ = env.send("POST", row.path, "x")
			env.waitIdle()
			check.Equal(env.runs.counts["blue"], row.runs)
		})
	}
}
