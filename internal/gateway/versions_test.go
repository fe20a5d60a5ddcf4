package gateway_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
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
