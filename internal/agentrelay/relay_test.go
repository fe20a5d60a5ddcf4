package agentrelay

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
	"github.com/jacinthbend/jacinthbend/internal/upstream"
)

// TestFormerRelay guards against the states of a slice that an instance watched some time
// ago and that reach readers as if they were recent, when it becomes the relay again.
func TestFormerRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newTestFleet()
		n := f.nodes["entry-0-00"]
		n.reader.updatePlan()
		slices := n.reader.plan.Slices
		req := statesRequest{From: "entry-0-01", Slices: slices, Slice: SliceOf("i-042", slices)}
		n.relay.serve(t.Context(), req)
		n.relay.UpdateAgentState("i-042", f.state("i-042"), time.Now())
		check.Equal(len(n.relay.serve(t.Context(), req).States), 1)

		time.Sleep(interestTTL + time.Second)
		n.reader.updatePlan()
		check.Equal(len(n.relay.serve(t.Context(), req).States), 0)
	})
}

// TestOlderReport guards against a report of another relay that is older than the known
// one and brings back a model that the engine has unloaded.
func TestOlderReport(t *testing.T) {
	check := is.New(t)
	f := newTestFleet()
	p := f.nodes["entry-0-00"].pool
	now := time.Now()
	report := func(incarnation int64, version uint64, model string, at time.Time) {
		p.UpdateAgentState("i-042", &agentapi.State{
			Incarnation: incarnation, Version: version, Reachable: true, StartedAtMS: 1,
			Holdings: &fleet.Holdings{Adapters: map[string][]string{model: nil}},
		}, at)
	}
	holds := func(model string) bool {
		c, _ := p.Pick(&upstream.Query{Service: "s", Model: model, TokensIn: 1, Tried: map[string]bool{}})
		return c != nil && !c.NeedsLoad
	}
	report(7, 3, "new", now)
	report(7, 2, "m", now)                     // older version
	report(6, 9, "m", now.Add(-3*time.Second)) // before the agent restarted
	check.True(holds("new"))
	check.True(!holds("m"))
	report(8, 1, "m", now.Add(time.Second)) // after the agent restarted
	check.True(holds("m"))
}

// TestCachedParts guards against a reader whose list of an engine's cached prompt parts is not
// that of the relay: after changes that it missed, after the agent was out, and at another
// relay.
func TestCachedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newTestFleet()
		relay, reader := f.nodes["entry-0-00"].relay, f.nodes["entry-0-01"].reader
		tracker, st, version := promptcache.NewTracker(), &agentapi.State{}, uint64(0)
		publish := func(id string) {
			version++
			tracker.Apply(fleet.CacheEvent{ID: id, Name: "m", Tokens: 500})
			time.Sleep(time.Second)
			tracker.Publish(version, 1, time.Now())
			cached, err := st.Cached.Apply(tracker.Report(version-1), time.Now())
			check.NoErr(err)
			st = &agentapi.State{Incarnation: 1, Version: version, Reachable: true, Cached: cached}
			relay.UpdateAgentState("i-042", st, time.Now())
		}
		c := cursor{known: make(map[string]*agentapi.State)}
		read := func() int {
			req := statesRequest{Slices: 1, Incarnation: c.incarnation, After: c.version}
			data, err := json.Marshal(relay.serve(t.Context(), req))
			check.NoErr(err)
			var resp statesResponse
			check.NoErr(json.Unmarshal(data, &resp))
			reader.apply(&c, resp)
			if known := c.known["i-042"]; known != nil {
				return known.Cached.Len()
			}
			return 0
		}
		publish("a")
		check.Equal(read(), 1)
		publish("b")
		check.Equal(read(), 2)
		for _, id := range []string{"c", "d", "e", "f", "g"} {
			publish(id)
		}
		check.Equal(read(), 7) // more changes than the relay remembers
		relay.AgentUnreachable("i-042", false)
		check.Equal(read(), 0)
		publish("h")
		check.Equal(read(), 8)
		c.selectRelay("another")
		check.Equal(read(), 8)
	})
}
