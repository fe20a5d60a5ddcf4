package gateway_test

import (
	"maps"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestRequestSentToLeavingUpstream guards against requests that are sent to an upstream after it
// has said in an answer that it leaves, though the store lists it as ready: of any kind, after
// any status, while the store is away or its entry lapses and comes back. A new start of the
// upstream gets requests again.
func TestRequestSentToLeavingUpstream(t *testing.T) {
	const leaving = "Server-Leaving: 1"
	for name, answer := range map[string]script{
		"ok":           respond(200, "a", leaving),
		"error":        respond(500, "a", leaving),
		"not executed": respond(503, "", leaving, "Jacinthbend-Not-Executed: 1"),
		"stream":       respond(200, event1, leaving, "Content-Type: text/event-stream"),
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, answer, func(c net.Conn, req receivedRequest) bool { return respond(200, "b")(c, req) })
			path := "/safe/"
			if name == "stream" {
				path = "/stream/"
			}
			first := env.send("POST", path, "x")
			check.Equal(first.header.Get("Server-Leaving"), "")
			toFirst := func() (n int) {
				for _, r := range env.receivedRequests() {
					if r.upstream == "i-0" {
						n++
					}
				}
				return n
			}
			check.Equal(toFirst(), 1)
			send := func() {
				for _, path := range []string{"/safe/", "/once/", "/public/"} {
					resp := env.send("POST", path, "x")
					check.Equal(resp.status, 200)
					check.Equal(resp.body, "b")
				}
			}
			send()
			// The entry lapses and comes back.
			lapsed := *env.view
			lapsed.Upstreams = maps.Clone(env.view.Upstreams)
			delete(lapsed.Upstreams, "i-0")
			env.gateway.Update(&lapsed)
			send()
			env.gateway.Update(env.view)
			send()
			check.Equal(toFirst(), 1)
			// Another start under the same id.
			restarted := lapsed
			restarted.Upstreams = maps.Clone(lapsed.Upstreams)
			u := *env.view.Upstreams["i-0"]
			u.StartedAtMS++
			restarted.Upstreams["i-0"] = &u
			env.gateway.Update(&restarted)
			env.eventually("a request at the new start", func() bool { env.send("POST", "/safe/", "x"); return toFirst() > 1 })
		})
	}
}
