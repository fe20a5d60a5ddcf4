package gateway_test

import (
	"maps"
	"net"
	"sync"
	"testing"
	"time"

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

// TestRequestSentDuringRetryAfter guards against requests, new ones and retries, that are sent to
// an upstream after it has turned one away and named the time for which it wants nothing, also
// if another answer names a shorter time, and against callers that are held or get a refusal
// without that time if there is no other upstream.
func TestRequestSentDuringRetryAfter(t *testing.T) {
	const pause = 700 * time.Millisecond
	for name, others := range map[string][]script{"with another upstream": {respond(200, "b")}, "alone": nil} {
		for _, run := range []string{"Jacinthbend-Not-Executed: 1", "X-Other: 1"} {
			t.Run(name+"/"+run, func(t *testing.T) {
				check := is.New(t)
				var mu sync.Mutex
				var first time.Time
				answers := 0
				turnAway := func(c net.Conn, req receivedRequest) bool {
					mu.Lock()
					defer mu.Unlock()
					retryAfter := "0.7"
					if answers++; answers > 1 {
						retryAfter = "0.01"
					} else {
						first = time.Now()
					}
					return respond(503, "", run, "Retry-After: "+retryAfter)(c, req)
				}
				env := newEnv(t, append([]script{turnAway}, others...)...)
				late := 0
				for time.Since(env.firstAnswer(&mu, &first)) < pause+200*time.Millisecond {
					resp := env.send("POST", "/safe/", "x", "Jacinthbend-Deadline-Ms: 400")
					if others != nil {
						check.Equal(resp.status, 200)
					} else if resp.status == 503 {
						check.True(resp.header.Get("Retry-After") != "")
					}
					mu.Lock()
					if time.Since(first) < pause {
						late = answers - 1
					}
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
				check.Equal(late, 0)
				if others != nil {
					return // the other one is as good
				}
				env.eventually("a request after the pause", func() bool {
					env.send("POST", "/safe/", "x", "Jacinthbend-Deadline-Ms: 400")
					mu.Lock()
					defer mu.Unlock()
					return answers > 1
				})
			})
		}
	}
}

// firstAnswer returns when the first answer was given, or now if none was.
func (env *testEnv) firstAnswer(mu *sync.Mutex, first *time.Time) time.Time {
	mu.Lock()
	defer mu.Unlock()
	if first.IsZero() {
		return time.Now()
	}
	return *first
}
