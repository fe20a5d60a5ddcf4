package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/streamorigin"
)

// setVersions gives the upstreams the software versions, in the order of their ids.
func (env *testEnv) setVersions(versions ...string) {
	v := *env.view
	v.Upstreams = make(map[string]*fleet.Upstream)
	for id, u := range env.view.Upstreams {
		c := *u
		c.Version = versions[int(id[len(id)-1]-'0')]
		v.Upstreams[id] = &c
	}
	env.view = &v
	// The gateway has seen no other versions.
	env.gateway.Origins = streamorigin.New(streamorigin.Options{})
	env.gateway.Update(&v)
}

// TestStreamResumedAtOtherVersion guards against a stream that an instance resumes within one
// answer at another software version than the one that began it.
func TestStreamResumedAtOtherVersion(t *testing.T) {
	for _, row := range []struct {
		name     string
		versions []string
		// body is what the caller gets, complete or not.
		body     string
		complete bool
		arrived  []string
	}{
		{"no other upstream of the version", []string{"v1", "v2"}, event1, false, []string{"i-0"}},
		{"another upstream of the version", []string{"v1", "v2", "v1"}, event1 + event2 + event3, true, []string{"i-0", "i-2"}},
		{"no versions", []string{"", ""}, event1 + event2 + event3, true, []string{"i-0", "i-1"}},
		{"one without a version", []string{"v1", ""}, event1, false, []string{"i-0"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			scripts := []script{chunkedStream(false, event1)}
			for range len(row.versions) - 1 {
				scripts = append(scripts, chunkedStream(true, event2, event3))
			}
			env := newEnv(t, scripts...)
			env.setVersions(row.versions...)
			resp := env.send("POST", "/resume/", "x")
			check.Equal(resp.err == nil, row.complete)
			check.Equal(resp.body, row.body)
			var arrived []string
			for _, r := range env.receivedRequests() {
				arrived = append(arrived, r.upstream)
			}
			check.Equal(arrived, row.arrived)
		})
	}
}

// TestCallerResumesAtOtherVersion checks what a caller gets that resumes a stream at the instance at which it
// began, by what it names.
func TestCallerResumesAtOtherVersion(t *testing.T) {
	const (
		lastEvent = "Last-Event-Id: 1"
		first     = "Resumes: begun"
	)
	for _, row := range []struct {
		name     string
		versions []string
		path     string
		header   []string
		status   int
		// arrived is the upstream that gets the request, "" if none does.
		arrived string
	}{
		{"known", []string{"v1", "v2"}, "/resume/", []string{lastEvent, first}, 200, "i-0"},
		{"one version, unknown", []string{"v1", "v1"}, "/resume/", []string{lastEvent, "Resumes: other"}, 200, "i-0"},
		{"one version, no first request", []string{"v1", "v1"}, "/resume/", []string{lastEvent}, 200, "i-0"},
		{"unknown", []string{"v1", "v2"}, "/resume/", []string{lastEvent, "Resumes: other"}, 503, ""},
		{"no first request", []string{"v1", "v2"}, "/resume/", []string{lastEvent}, 503, ""},
		{"two first requests", []string{"v1", "v2"}, "/resume/", []string{lastEvent, first, "Resumes: other"}, 503, ""},
		{"very long id", []string{"v1", "v2"}, "/resume/", []string{lastEvent, "Resumes: " + strings.Repeat("x", 2000)}, 503, ""},
		{"no last event", []string{"v1", "v2"}, "/resume/", []string{"Resumes: other"}, 200, "i-0"},
		{"route of another service", []string{"v1", "v2"}, "/model/", []string{lastEvent, first}, 503, ""},
		{"another team's stream", []string{"v1", "v2"}, "/resume/", []string{lastEvent, first, "X-Api-Key: poor"}, 200, "i-0"},
		{"stream that may not be resumed", []string{"v1", "v2"}, "/stream/", []string{lastEvent}, 503, ""},
		{"no stream", []string{"v1", "v2"}, "/safe/", []string{lastEvent}, 200, "i-0"},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, chunkedStreamTo(event2+event3), chunkedStreamTo(event2+event3))
			env.setVersions(row.versions...)
			env.gateway.Origins.Began("begun", env.view.Upstreams["i-0"])
			resp := env.send("POST", row.path, "x", row.header...)
			check.Equal(resp.status, row.status)
			arrived := ""
			for _, r := range env.receivedRequests() {
				arrived += r.upstream
			}
			check.Equal(arrived, row.arrived)
			if row.status == 503 {
				check.True(strings.Contains(resp.body, `"stream_not_resumable"`))
				check.True(strings.Contains(resp.body, `"ran":"no"`))
				check.True(resp.header.Get("Retry-After") != "" || row.path == "/model/")
			}
		})
	}
}

// chunkedStreamTo answers a request that resumes a stream with events, and others from the first
// event on.
func chunkedStreamTo(events string) script {
	return func(c net.Conn, req receivedRequest) bool {
		if req.header.Get("Last-Event-Id") == "" {
			events = event1 + events
		}
		return chunkedStream(true, events)(c, req)
	}
}

// echoedStream answers with an event and the id of the request. If end is false it breaks the
// stream off.
func echoedStream(c net.Conn, req receivedRequest, event string, end bool) bool {
	last := ""
	if end {
		last = "0\r\n\r\n"
	}
	head := responseHead(200, req.header.Get(requestIDHeader), "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	_, err := fmt.Fprintf(c, "%s\r\n%x\r\n%s\r\n%s", head, len(event), event, last)
	return end && err == nil
}

// TestCallerResumesTwice guards against a stream that goes on at another version when its caller
// resumes it for the second time, naming the first request again, or the one that resumed it.
func TestCallerResumesTwice(t *testing.T) {
	check := is.New(t)
	var breaks atomic.Bool
	breaks.Store(true)
	events := map[string]string{"": event1, "1": event2, "2": event3}
	answer := func(c net.Conn, req receivedRequest) bool {
		return echoedStream(c, req, events[req.header.Get("Last-Event-Id")], !breaks.Load())
	}
	env := newEnv(t, answer, answer)
	env.setVersions("v1", "v2")
	check.True(env.send("POST", "/resume/", "x", withID(1)).err != nil)
	check.True(env.send("POST", "/resume/", "x", withID(2), "Last-Event-Id: 1", "Resumes: r1").err != nil)
	breaks.Store(false)
	for i, resumes := range []string{"Resumes: r1", "Resumes: r2"} {
		resp := env.send("POST", "/resume/", "x", withID(3+i), "Last-Event-Id: 2", resumes)
		check.NoErr(resp.err)
		check.Equal(resp.body, event3)
	}
	for _, r := range env.receivedRequests() {
		check.Equal(r.upstream, "i-0")
	}
}

// TestFirstEventNotSent guards against a request that is bound to a version although its caller
// has got no event of the stream.
func TestFirstEventNotSent(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, chunkedStream(false), chunkedStream(true, event1, event2, event3))
	env.setVersions("v1", "v2")
	resp := env.send("POST", "/resume/", "x")
	check.NoErr(resp.err)
	check.Equal(resp.body, event1+event2+event3)
}

// TestCallerResumesOnSplitRoute guards against a stream that goes on at another service than the
// one that began it, because the route splits its traffic by the ids of requests.
func TestCallerResumesOnSplitRoute(t *testing.T) {
	check := is.New(t)
	answer := func(c net.Conn, req receivedRequest) bool { return echoedStream(c, req, event2, true) }
	env := newEnv(t, answer, answer)
	v := *env.view
	v.Upstreams = make(map[string]*fleet.Upstream)
	for id, u := range env.view.Upstreams {
		c := *u
		c.Service = "s" + id // one service for each upstream
		v.Upstreams[id] = &c
	}
	config := *v.Config
	config.Routes = append([]fleet.Route{{
		Name: "split", Host: "h.example", Prefix: "/split/", Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2, Timeout: testTimeout,
		Targets: []fleet.Target{{Service: "si-0", Weight: 1}, {Service: "si-1", Weight: 1}},
	}}, config.Routes...)
	v.Config = &config
	env.gateway.Origins = streamorigin.New(streamorigin.Options{})
	env.gateway.Update(&v)
	const resumes = "Resumes: r1"
	for i := range 20 {
		check.Equal(env.send("POST", "/split/", "x", withID(2+i), "Last-Event-Id: 1", resumes).status, 200)
	}
	first := env.receivedRequests()[0].upstream
	for _, r := range env.receivedRequests() {
		check.Equal(r.upstream, first)
	}
}
