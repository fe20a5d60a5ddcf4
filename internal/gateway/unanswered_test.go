package gateway_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// restart replaces an upstream in the view by a later start at the same address.
func (env *testEnv) restart(id, successor string) {
	v := *env.view
	v.Upstreams = map[string]*fleet.Upstream{}
	for key, u := range env.view.Upstreams {
		if key == id {
			next := *u
			next.ID, next.StartedAtMS = successor, u.StartedAtMS+time.Now().UnixMilli()
			u, key = &next, successor
		}
		v.Upstreams[key] = u
	}
	env.view = &v
	env.gateway.Update(&v)
}

// hang returns a script that answers nothing until the test ends.
func hang(t *testing.T) script {
	return func(net.Conn, receivedRequest) bool { <-t.Context().Done(); return false }
}

// TestCrashAfterTheRequestWasGivenUp guards against a request that is repeated without an end because
// its upstreams crash only after its attempts have timed out: no attempt sees the connection end.
func TestCrashAfterTheRequestWasGivenUp(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, hang(t))
	for i := range 3 {
		resp := env.send("POST", "/short/", "x")
		check.Equal(resp.status, 504)
		env.waitIdle()
		id := fmt.Sprintf("i-%d", i)
		if i > 0 {
			id = fmt.Sprintf("next-%d", i)
		}
		env.restart(id, fmt.Sprintf("next-%d", i+1))
	}
	received := len(env.receivedRequests())
	resp := env.send("POST", "/short/", "x")
	check.Equal(resp.status, 503)
	check.Equal(len(env.receivedRequests()), received) // not sent again
	check.True(env.send("POST", "/short/", "another body").status != 503)
}

// TestLeavingAfterTheRequestWasGivenUp guards against blaming a request that timed out for the end of an
// upstream that had announced it.
func TestLeavingAfterTheRequestWasGivenUp(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, hang(t))
	_ = env.send("POST", "/short/", "x")
	env.waitIdle()
	v := *env.view
	leaving := *v.Upstreams["i-0"]
	leaving.Draining = true
	v.Upstreams = map[string]*fleet.Upstream{"i-0": &leaving}
	env.view = &v
	env.gateway.Update(&v)
	env.restart("i-0", "next")
	check.True(!env.gateway.Quarantine.Active())
}
