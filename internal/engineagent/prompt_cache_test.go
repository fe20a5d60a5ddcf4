package engineagent

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
	"github.com/jacinthbend/jacinthbend/platform"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// scriptedCache answers each call with answer, and records the positions asked for.
type scriptedCache struct {
	mu     sync.Mutex
	answer fleet.CacheEvents
	err    error
	asked  []string
}

func (c *scriptedCache) CacheEvents(_ context.Context, since string) (fleet.CacheEvents, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, since)
	return c.answer, c.err
}

func (c *scriptedCache) set(answer fleet.CacheEvents, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer, c.err, c.asked = answer, err, nil
}

func (c *scriptedCache) calls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.asked)
}

// TestFollowCacheEvents guards against a list that is reported although the engine was
// restarted, events were lost or no answers come, against many calls to an engine that does
// not answer them, against state calls that end for each change of the list, and against
// changes that a caller never gets since the engine did not respond meanwhile.
func TestFollowCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		source := &scriptedCache{}
		event := func(id string) []fleet.CacheEvent { return []fleet.CacheEvent{{ID: id, Name: "a", Tokens: 900}} }
		a := newAgent(newFakeEngine("a"), 1, true)
		a.CacheEvents = source
		a.applyReport(newFakeEngine("a").report)
		var known agentapi.State
		var cached *promptcache.Parts
		poll := func() (ids string) {
			st, err := a.ServeState(t.Context(), agentapi.StateRequest{Incarnation: known.Incarnation, After: known.Version, WaitMS: 400})
			check.NoErr(err)
			cached, err = cached.Apply(st.PromptParts, time.Now())
			check.NoErr(err)
			known = st
			for _, id := range []string{"x", "y", "z"} {
				if _, ok := cached.Tokens(promptcache.Hash("a", id), 900); ok {
					ids += id
				}
			}
			return ids
		}
		wait := func(d time.Duration) string { time.Sleep(d); return poll() }
		source.set(fleet.CacheEvents{Failure: "status 404"}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.FollowCacheEvents(ctx)
		check.Equal(wait(29*time.Second), "")
		check.Equal(known.PromptParts, "") // the state is as without the call
		check.Equal(len(source.calls()), 1)
		source.set(fleet.CacheEvents{Epoch: "1", Next: "5", Lost: true, Events: event("x")}, nil)
		check.Equal(wait(2*time.Second), "x")
		source.set(fleet.CacheEvents{Epoch: "1", Next: "6", Events: event("y")}, nil)
		start := time.Now()
		check.Equal(poll(), "x")
		check.Equal(time.Since(start), 400*time.Millisecond) // a change of the list ends no call
		time.Sleep(2 * time.Second)
		a.markUnreachable(errors.New("down"))
		check.Equal(poll(), "xy") // the next call asks for what changed after this version
		a.applyReport(newFakeEngine("a").report)
		source.set(fleet.CacheEvents{Epoch: "1", Next: "9", Lost: true, Events: event("z")}, nil)
		check.Equal(wait(2*time.Second), "z")
		source.set(fleet.CacheEvents{Epoch: "2", Next: "1", Events: event("x")}, nil)
		check.Equal(wait(2*time.Second), "x")
		check.Equal(source.calls()[1], "") // a position of the last start means nothing
		source.set(fleet.CacheEvents{Refused: true}, nil)
		check.Equal(wait(3*time.Second), "x")
		check.Equal(wait(6*time.Second), "")
		source.set(fleet.CacheEvents{}, errors.New("connection refused"))
		time.Sleep(time.Minute)
		check.True(len(source.calls()) <= 4)
	})
}

// BenchmarkFollowCacheEvents measures what an agent does in a second with 10 events: a call to
// the engine, on loopback, and the states for 23 instances.
func BenchmarkFollowCacheEvents(b *testing.B) {
	cache := &platformtest.PromptCache{Tokens: 225_000, Retained: 512, Calls: 1}
	server := httptest.NewServer(platformtest.NewEngine(platformtest.EngineOptions{Cache: cache}))
	b.Cleanup(server.Close)
	engine, err := platform.NewEngine(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		b.Fatal(err)
	}
	a := newAgent(newFakeEngine("a"), 1, true)
	a.CacheEvents = engine
	a.applyReport(newFakeEngine("a").report)
	a.storeShare.engines = 1
	var f cacheFollower
	for i := 0; b.Loop(); i++ {
		for j := range 5 { // and five that are evicted
			cache.Read("a", strconv.Itoa(5*i+j)+":2000")
		}
		after := a.version
		a.readCacheEvents(b.Context(), &f)
		for range 23 {
			_ = a.stateFor(agentapi.StateRequest{Incarnation: a.incarnation, After: after})
		}
	}
}
