package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// versionView returns a view of engines of the versions; each has model m loaded.
func versionView(versions ...string) *fleet.View {
	v := testView(len(versions), 1)
	for id, u := range v.Upstreams {
		u.Version = versions[int(id[len(id)-1]-'0')]
		u.Holdings.Adapters["m"] = nil
	}
	return v
}

func boundQuery(version string) *Query {
	q := engineQuery("m", "")
	q.VersionBound, q.Version = true, version
	return q
}

// withDraining returns the view with an upstream that leaves.
func withDraining(v *fleet.View, id string) *fleet.View {
	out := *v
	out.Upstreams = make(map[string]*fleet.Upstream)
	for i, u := range v.Upstreams {
		c := *u
		c.Draining = c.Draining || i == id
		out.Upstreams[i] = &c
	}
	return &out
}

// TestOtherVersionChosen guards against a stream that goes on at another version because the
// upstreams of its own are loaded, tried, paused, leaving or without the model.
func TestOtherVersionChosen(t *testing.T) {
	for name, row := range map[string]struct {
		prepare func(p *Pool, v *fleet.View, q *Query)
		// want is the id of the upstream chosen, or "".
		want string
		gone bool
	}{
		"free":        {func(*Pool, *fleet.View, *Query) {}, "i-0", false},
		"tried":       {func(_ *Pool, _ *fleet.View, q *Query) { q.Tried["i-0"] = true }, "", false},
		"not listed":  {func(_ *Pool, _ *fleet.View, q *Query) { q.Version = "v0" }, "", true},
		"unreachable": {func(p *Pool, _ *fleet.View, _ *Query) { p.states["i-0"].health.record(Unreachable, time.Now()) }, "", false},
		"pause":       {func(p *Pool, _ *fleet.View, _ *Query) { p.states["i-0"].said.pausedUntil = time.Now().Add(time.Minute) }, "", false},
		"names a rate limit, others do not": {func(p *Pool, _ *fleet.View, _ *Query) {
			s := p.states["i-0"]
			s.headerLimit, s.headerLimitAt, s.lastSent = 0.01, time.Now(), time.Now()
		}, "", false},
		"model only in the weight store": {func(p *Pool, v *fleet.View, _ *Query) {
			v = withDraining(v, "")
			v.Upstreams["i-0"].Holdings = &fleet.Holdings{Adapters: map[string][]string{}}
			p.Update(v)
		}, "", false},
		"model on the disks of others": {func(p *Pool, v *fleet.View, _ *Query) {
			v = withDraining(v, "")
			v.Upstreams["i-0"].Holdings = &fleet.Holdings{Adapters: map[string][]string{}}
			for _, id := range []string{"i-1", "i-2"} {
				v.Upstreams[id].Holdings = &fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"m"}}
			}
			p.Update(v)
		}, "", false},
		"plain service": {func(p *Pool, v *fleet.View, q *Query) {
			v = withDraining(v, "")
			for _, u := range v.Upstreams {
				u.Service, u.Holdings = "p", nil
			}
			p.Update(v)
			q.Service, q.Model = "p", ""
		}, "i-0", false},
		"plain service, tried": {func(p *Pool, v *fleet.View, q *Query) {
			v = withDraining(v, "")
			for _, u := range v.Upstreams {
				u.Service, u.Holdings = "p", nil
			}
			p.Update(v)
			q.Service, q.Model, q.Tried["i-0"] = "p", "", true
		}, "", false},
		"model on disk": {func(p *Pool, v *fleet.View, _ *Query) {
			v = withDraining(v, "")
			v.Upstreams["i-0"].Holdings = &fleet.Holdings{Adapters: map[string][]string{}, OnDisk: []string{"m"}}
			p.Update(v)
		}, "i-0", false},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			v := versionView("v1", "v2", "v2")
			p := newPool(v)
			q := boundQuery("v1")
			q.Tried = make(map[string]bool)
			row.prepare(p, v, q)
			got := ""
			c, unavailable := p.Pick(q)
			if c != nil {
				got = c.Upstream.ID
			}
			check.Equal(got, row.want)
			_, gone := unavailable.Obstacle.(VersionGone)
			check.Equal(gone, row.gone)
			if limit, ok := unavailable.Obstacle.(AtLimit); ok && limit.Queue != nil {
				check.Equal(limit.Queue.Upstream.Version, "v1")
			}
			if c != nil && c.Replica != nil {
				check.Equal(c.Replica.Upstream.Version, "v1")
			}
		})
	}
}

// TestResumedAtLeavingUpstream guards against a stream that is refused although an upstream of its
// version, which is about to leave, still takes it, and against one that is sent there too late.
func TestResumedAtLeavingUpstream(t *testing.T) {
	const drainTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := versionView("v1", "v2")
		p := NewPool("entry-0", "z0", Bounds{DrainTime: drainTime})
		p.Update(v)
		p.Update(withDraining(v, "i-0"))
		takes := func(q *Query) bool {
			c, _ := p.Pick(q)
			if c == nil {
				return false
			}
			ticket, _ := p.Begin(c, q)
			if ticket != nil {
				ticket.End(Served)
			}
			return ticket != nil && c.Upstream.ID == "i-0"
		}
		check.True(takes(boundQuery("v1")))
		check.True(!takes(engineQuery("m", ""))) // not a new one
		time.Sleep(drainTime / 4)
		check.True(!takes(boundQuery("v1")))

		// An instance that has just started does not know since when it leaves.
		p = NewPool("entry-1", "z0", Bounds{DrainTime: drainTime})
		p.Update(withDraining(v, "i-0"))
		check.True(!takes(boundQuery("v1")))

		// A platform that does not tell the drain time.
		p = NewPool("entry-1", "z0", Bounds{})
		p.Update(v)
		p.Update(withDraining(v, "i-0"))
		check.True(!takes(boundQuery("v1")))
	})
}
