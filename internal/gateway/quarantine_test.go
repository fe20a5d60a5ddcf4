package gateway_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
)

const badPrompt = "Jacinthbend-Prompt-Prefix: aa:5,bad:6,cc:7"

// crashesOf records that upstreams crashed under requests with the part "bad".
func (env *testEnv) crashesOf(ids ...string) {
	for _, id := range ids {
		env.gateway.Quarantine.RecordCrash(id, false, false, quarantine.Identity{Prompt: []fleet.PromptPart{{ID: "x-" + id}, {ID: "bad"}}}.Suspects())
	}
}

// TestRetryOfWhatCrashesUpstreams guards against a request that is sent on after a crash
// although one more crash would quarantine a part of its prompt, and against one that is not
// sent on after an ordinary crash.
func TestRetryOfWhatCrashesUpstreams(t *testing.T) {
	for name, before := range map[string][]string{"first crash": nil, "second crash": {"other/1"}} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, crash(chunkedStream(false)), chunkedStream(true, event1))
			env.crashesOf(before...)
			resp := env.send("POST", "/resume/", "x", badPrompt)
			if len(before) == 0 {
				check.Equal(resp.status, 200)
				check.Equal(resp.body, event1)
				return
			}
			check.Equal(resp.status, 502)
			check.Equal(resp.header.Get("Retry-After"), "")
			check.Equal(len(env.receivedRequests()), 1)
		})
	}
}

// TestQuarantinedContentIsSent guards against content that crashes upstreams and is sent to one, and
// against a refusal that names no content or no time.
func TestQuarantinedContentIsSent(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, chunkedStream(true, event1))
	env.crashesOf("u/1", "u/2", "u/3")
	resp := env.send("POST", "/stream/", "x", badPrompt)
	check.Equal(resp.status, 503)
	check.True(resp.header.Get("Retry-After") != "")
	check.Equal(len(env.receivedRequests()), 0)
	env.waitIdle()
	check.Equal(logEntriesOfR1(env.logs, "request contains what crashed several upstreams")[0]["suspect"], "part/bad")
	check.Equal(env.send("POST", "/stream/", "x", "Jacinthbend-Prompt-Prefix: aa:5,good:6,cc:7").status, 200)
}

// TestLeavingUpstreamIsNoCrash guards against blaming requests for the end of an upstream
// that had announced it.
func TestLeavingUpstreamIsNoCrash(t *testing.T) {
	check := is.New(t)
	var env *testEnv
	env = newEnv(t, func(c net.Conn, req receivedRequest) bool {
		v := *env.view
		v.Upstreams = map[string]*fleet.Upstream{}
		for id, u := range env.view.Upstreams {
			leaving := *u
			leaving.Draining = true
			v.Upstreams[id] = &leaving
		}
		env.gateway.Update(&v)
		return crash(chunkedStream(false, event1))(c, req)
	})
	_ = env.send("POST", "/stream/", "x", badPrompt)
	env.waitIdle()
	check.Equal(logEntriesOfR1(env.logs, "stream interrupted")[0]["crashed"], false)
	check.True(!env.gateway.Quarantine.Active())
}

// TestCrashBeforeTheResumedStreamBegins guards against taking a request for harmless that
// crashes its second upstream before it gets an event there, because the first sent some.
func TestCrashBeforeTheResumedStreamBegins(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, chunkedStream(false, event1), crash(chunkedStream(false)))
	_ = env.send("POST", "/resume/", "x", badPrompt)
	env.waitIdle()
	crashes := env.gateway.Quarantine.Report().Crashes
	check.Equal(len(crashes), 1)
	check.True(crashes[0].NotBegun["part/bad"])
}
