package managed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// crashingPart is the part of prompts that crashes the engines of a crashCluster.
const crashingPart = "bad0"

// crashCluster runs several entry instances before engines that a part of a prompt
// crashes.
type crashCluster struct {
	t       *testing.T
	store   *platformtest.Store
	engines []*platformtest.CrashingEngine
	entries []settings.Managed
	stops   []context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	sent     int
	outcomes []outcome
}

// outcome is how a request without the crashing part ended.
type outcome struct {
	at     time.Time
	served bool
}

const (
	portsPerEntry  = 6
	engineDowntime = 300 * time.Millisecond
)

func newCrashCluster(t *testing.T, entries, engines int, set ...func(*settings.Managed)) *crashCluster {
	check := is.New(t)
	c := &crashCluster{t: t, store: platformtest.NewStore()}
	storeAddr := startFakeServer(t, c.store)
	for i := range engines {
		e, err := platformtest.StartCrashingEngine(c.store, "e", fmt.Sprintf("i-%d", i), crashingPart, engineDowntime, platformtest.EngineOptions{
			WeightsMB: 100, ModelMB: 60, MaxAdapters: 4, Events: 3, EventTime: 20 * time.Millisecond,
		}, "m1")
		check.NoErr(err)
		t.Cleanup(e.Stop)
		c.engines = append(c.engines, e)
	}
	c.store.Put(platformtest.OperatorTopic, platformtest.ConfigKey, fmt.Sprintf(testConfig, 1, "key"))
	for i := range entries {
		c.entries = append(c.entries, settings.Managed{
			Instance: fmt.Sprintf("entry-%d", i), DataCentre: "z", BindIP: "127.0.0.1", StoreAddr: storeAddr, FirstStart: true,
			Bounds: settings.ManagedBounds{
				GraceS: 1, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 200, QuotaWindowS: 8, QuotaOver: 0.1, QuotaSlack: 100000,
				ColdOver: 1.5, ColdSlack: 5, LoadWindowS: 5, LoadOver: 1.1,
			},
		})
		for _, f := range set {
			f(&c.entries[i])
		}
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

// startEntry starts an entry instance and waits until it is ready. Each start has ports of
// its own: the listeners of an earlier start stay open until the process ends.
func (c *crashCluster) startEntry(i int) {
	c.launchEntry(i)
	c.eventually("entry instance ready", func() bool { return c.entryReady(i) })
}

// launchEntry starts an entry instance.
func (c *crashCluster) launchEntry(i int) {
	base := freePorts(c.t, portsPerEntry)
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", base+port) }
	c.entries[i].PortRange = [2]int{base, base + portsPerEntry - 3}
	c.entries[i].CallerAddr, c.entries[i].ReadyAddr = at(portsPerEntry-2), at(portsPerEntry-1)
	ctx, cancel := context.WithCancel(context.Background())
	c.stops[i] = cancel
	m := c.entries[i]
	p := &Process{Settings: m, Logger: zap.NewNop(), Level: zap.NewAtomicLevel(), LoadSettings: func() (settings.Managed, error) { return m, nil }}
	c.wg.Go(func() { _ = RunEntry(ctx, p) })
}

func (c *crashCluster) entryReady(i int) bool {
	resp, err := http.Get("http://" + c.entries[i].ReadyAddr + platformtest.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// status sends a request that is charged 10 tokens more than tokens and returns the status of its
// answer.
func (c *crashCluster) status(entry int, id, key string, tokens int, deadline time.Duration) int {
	return platformtest.Send(context.Background(), &http.Transport{DisableKeepAlives: true}, c.entries[entry].CallerAddr, platformtest.Request{
		ID: id, Method: http.MethodPost, Host: "h.example", Path: "/s/x", Key: key, Model: "m1", Body: "x",
		Prompt: "5a5a:10", TokensIn: 10, TokensOut: tokens, Deadline: deadline,
	}).Status
}

func (c *crashCluster) eventually(what string, condition func() bool) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("condition not met within 10 s: %s", what)
}

// send sends a request with the given middle part of its prompt to an entry instance.
func (c *crashCluster) send(entry int, part string) platformtest.Response {
	c.mu.Lock()
	c.sent++
	n := c.sent
	c.mu.Unlock()
	id := fmt.Sprintf("r%d", n)
	return c.sendAs(entry, id, "prompt "+id, fmt.Sprintf("5a5a:10,%s:5,%x:3", part, n))
}

// sendAgain sends a request with the crashing part that is the same each time but for its id.
func (c *crashCluster) sendAgain(entry int) platformtest.Response {
	c.mu.Lock()
	c.sent++
	n := c.sent
	c.mu.Unlock()
	return c.sendAs(entry, fmt.Sprintf("r%d", n), "same", fmt.Sprintf("5a5a:10,%s:5,5a:3", crashingPart))
}

func (c *crashCluster) sendAs(entry int, id, body, prompt string) platformtest.Response {
	return platformtest.Send(context.Background(), &http.Transport{DisableKeepAlives: true}, c.entries[entry].CallerAddr, platformtest.Request{
		ID: id, Method: http.MethodPost, Host: "h.example", Path: "/s/x", Key: "key", Model: "m1", Body: body,
		Prompt: prompt, TokensIn: 5, TokensOut: 5, Deadline: 2 * time.Second,
	})
}

// traffic sends requests to random entry instances until stop is closed, one of six with
// the crashing part. The others share their first part with it.
func (c *crashCluster) traffic(stop <-chan struct{}) {
	const interval = 8 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(interval):
		}
		entry, crashing := r.IntN(len(c.entries)), i%6 == 0
		part := fmt.Sprintf("50%d", r.IntN(20))
		if crashing {
			part = crashingPart
		}
		wg.Go(func() {
			at := time.Now()
			resp := c.send(entry, part)
			if !crashing {
				c.mu.Lock()
				c.outcomes = append(c.outcomes, outcome{at, resp.Err == nil && resp.Status == http.StatusOK})
				c.mu.Unlock()
			}
		})
	}
}

// history returns when requests with the crashing part arrived at engines and when engines
// ended, in order.
func (c *crashCluster) history() (arrivals, crashes []time.Time) {
	for _, e := range c.engines {
		a, b := e.History()
		arrivals, crashes = append(arrivals, a...), append(crashes, b...)
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	slices.SortFunc(crashes, time.Time.Compare)
	return arrivals, crashes
}

// servedShare returns which share of the sound requests since a time was served.
func (c *crashCluster) servedShare(since time.Time) (share float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, o := range c.outcomes {
		if o.at.Before(since) {
			continue
		}
		n++
		if o.served {
			served++
		}
	}
	return float64(served) / float64(max(1, n)), n
}
