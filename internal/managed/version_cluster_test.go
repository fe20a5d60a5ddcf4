package managed

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// versionCluster runs several entry instances before engines of several software versions.
type versionCluster struct {
	*crashCluster
	// versions are those of the engines.
	versions []string

	mu sync.Mutex
	// ranAt are by request the versions of the engines that ran it.
	ranAt map[string][]string
}

const streamEvents = 4

func newVersionCluster(t *testing.T, entries int, versions ...string) *versionCluster {
	store := platformtest.NewStore()
	c := &versionCluster{crashCluster: &crashCluster{t: t, store: store}, ranAt: make(map[string][]string)}
	for _, v := range versions {
		c.addEngine(v)
	}
	store.Put(platformtest.OperatorTopic, platformtest.ConfigKey, fmt.Sprintf(testConfig, 1, "key"))
	storeAddr := startFakeServer(t, store)
	for i := range entries {
		c.entries = append(c.entries, settings.Managed{
			Instance: fmt.Sprintf("entry-%d", i), DataCentre: "z", BindIP: "127.0.0.1", StoreAddr: storeAddr, FirstStart: true,
			Bounds: settings.ManagedBounds{
				GraceS: 1, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 200, QuotaWindowS: 8, QuotaOver: 0.1, QuotaSlack: 100000,
				ColdOver: 1.5, ColdSlack: 5, LoadWindowS: 5, LoadOver: 1.1,
			},
		})
		c.stops = append(c.stops, nil)
		c.startEntry(i)
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
		c.wg.Wait()
	})
	return c
}

// addEngine starts an engine of a version.
func (c *versionCluster) addEngine(version string) {
	i := len(c.engines)
	e, err := platformtest.StartCrashingEngine(c.store, "e", fmt.Sprintf("i-%d", i), crashingPart, engineDowntime, platformtest.EngineOptions{
		WeightsMB: 100, ModelMB: 60, MaxAdapters: 4, Events: streamEvents, EventTime: 150 * time.Millisecond, Version: version,
		OnRun: func(r platformtest.Run) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.ranAt[r.ID] = append(c.ranAt[r.ID], version)
		},
	}, "m1")
	is.New(c.t).NoErr(err)
	c.t.Cleanup(e.Stop)
	c.engines, c.versions = append(c.engines, e), append(c.versions, version)
}

// removeEngines ends the engines of a version for good and removes them from the list.
func (c *versionCluster) removeEngines(version string) {
	for i, e := range c.engines {
		if c.versions[i] == version {
			e.Stop()
			c.store.Put(platformtest.UpstreamTopic, fmt.Sprintf("i-%d-1", i), "")
		}
	}
}

// restartEntries starts all entry instances anew, without anything that they remembered.
func (c *versionCluster) restartEntries() {
	for i, stop := range c.stops {
		stop()
		c.startEntry(i)
	}
}

// begin begins a stream at an entry instance and breaks it off after its first event. It returns
// the version that ran it.
func (c *versionCluster) begin(entry int, id string) string {
	c.call(platformtest.Begin, entry, platformtest.Request{ID: id})
	return c.ranBy(id)
}

// resume resumes the stream that the request resumes began, after its first event.
func (c *versionCluster) resume(entry int, id, resumes string) platformtest.Response {
	return c.call(platformtest.Send, entry, platformtest.Request{ID: id, ResumeAfter: "1", Resumes: resumes})
}

func (c *versionCluster) call(send func(context.Context, http.RoundTripper, string, platformtest.Request) platformtest.Response, entry int, r platformtest.Request) platformtest.Response {
	r.Method, r.Host, r.Path, r.Key, r.Model, r.Body = http.MethodPost, "h.example", "/s/x", "key", "m1", "prompt "+r.ID
	r.Prompt, r.TokensIn, r.TokensOut, r.Deadline = "5a5a:10", 5, 5, 2*time.Second
	return send(context.Background(), &http.Transport{DisableKeepAlives: true}, c.entries[entry].CallerAddr, r)
}

// ranBy returns the version of the engine that last ran a request, or "".
func (c *versionCluster) ranBy(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ran := c.ranAt[id]; len(ran) > 0 {
		return ran[len(ran)-1]
	}
	return ""
}

// atOnce is how many requests a test sends at a time.
const atOnce = 20

// forEach calls f for the numbers below n, atOnce at a time.
func forEach(n int, f func(i int)) {
	var wg sync.WaitGroup
	turns := make(chan struct{}, atOnce)
	for i := range n {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			f(i)
		})
	}
	wg.Wait()
}

// begun is a stream that broke off after its first event.
type begun struct{ id, version string }

// beginAll begins n streams at all entry instances in turn.
func (c *versionCluster) beginAll(n int) []begun {
	out := make([]begun, n)
	forEach(n, func(i int) {
		id := fmt.Sprintf("stream-%d", i)
		out[i] = begun{id, c.begin(i%len(c.entries), id)}
	})
	return slices.DeleteFunc(out, func(b begun) bool { return b.version == "" })
}

// resumption counts what became of streams that their callers resumed, by the version that began
// them: same went on at that version, joined at another one, and refused did not go on.
type resumption struct{ same, joined, refused map[string]int }

// resumeAll resumes all streams, each at another entry instance than the one that began it.
func (c *versionCluster) resumeAll(streams []begun) resumption {
	out := resumption{make(map[string]int), make(map[string]int), make(map[string]int)}
	var mu sync.Mutex
	forEach(len(streams), func(i int) {
		s := streams[i]
		start := time.Now()
		resp := c.resume((i+1)%len(c.entries), s.id+"-again", s.id)
		took, ran := time.Since(start), c.ranBy(s.id+"-again")
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ran == "" && resp.Status == http.StatusServiceUnavailable:
			if took > time.Second {
				c.t.Errorf("the refusal of %s took %s", s.id, took)
			}
			out.refused[s.version]++
		case ran == s.version && resp.Err == nil && resp.Status == http.StatusOK:
			out.same[s.version]++
		case ran != s.version:
			out.joined[s.version]++
		default:
			c.t.Errorf("%s, begun at %s, got status %d and error %v at %q", s.id, s.version, resp.Status, resp.Err, ran)
		}
	})
	return out
}

// TestStreamJoinedFromVersions guards against a stream that goes on at another software version
// than the one that began it when its caller resumes it (ORDER), and against refusing most
// streams that could go on (LOST).
func TestStreamJoinedFromVersions(t *testing.T) {
	const streams = 60
	for _, row := range []struct {
		name string
		// change happens after the streams have broken off.
		change func(c *versionCluster)
		// gone is a version whose streams cannot go on.
		gone string
	}{
		{"connections reset", func(*versionCluster) {}, ""},
		{"all entries restarted", (*versionCluster).restartEntries, ""},
		{"old version gone", func(c *versionCluster) { c.removeEngines("v1"); <-time.After(time.Second) }, "v1"},
		{"old version gone and all entries restarted", func(c *versionCluster) { c.removeEngines("v1"); c.restartEntries() }, "v1"},
	} {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			c := newVersionCluster(t, 3, "v1", "v1", "v2", "v2")
			began := c.beginAll(streams)
			<-time.After(500 * time.Millisecond)
			row.change(c)
			got := c.resumeAll(began)
			t.Logf("begun %d: %+v", len(began), got)
			check.Equal(len(got.joined), 0)
			for version := range got.refused {
				if version != row.gone {
					check.True(got.same[version] > got.refused[version]) // most go on
				}
			}
			if row.gone != "" {
				check.Equal(got.same[row.gone], 0)
				check.True(got.refused[row.gone] > 0)
			}
		})
	}
}
