package managed

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// TestStartWithoutStoreRefusesTeam guards against a start that refuses a team within its rate, because
// the store does not tell what earlier starts spent, or did not for some seconds, although an agent
// runs that knows it. What they spent must not be given out again.
func TestStartWithoutStoreRefusesTeam(t *testing.T) {
	for name, test := range map[string]struct {
		outage time.Duration
		tokens int
	}{
		"usage not told": {0, 30_000},
		"store out":      {2500 * time.Millisecond, 80_000},
	} {
		t.Run(name, func(t *testing.T) { testStartWithoutStore(t, test.outage, test.tokens) })
	}
}

// testStartWithoutStore starts an instance while the store is out, and then asks it for tokens that it
// has only if it knows what was spent. Without an outage the store does not tell the usage.
func testStartWithoutStore(t *testing.T, outage time.Duration, tokens int) {
	check := is.New(t)
	c := newCrashCluster(t, 1, 1)
	engine := platformtest.NewEngine(platformtest.EngineOptions{ID: "i-9", StartMS: 1, WeightsMB: 100, ModelMB: 60, Events: 3}, "m1")
	agent := c.entries[0]
	base := freePorts(t, portsPerEntry)
	agent.Instance, agent.Service, agent.UpstreamAddr = "agent-1", "e", startFakeServer(t, engine)
	agent.PortRange, agent.CallerAddr, agent.ReadyAddr = [2]int{base, base + portsPerEntry - 1}, "", ""
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	process := (&testCluster{}).newProcess(agent)
	go func() { _ = RunAgent(ctx, process) }()
	c.eventually("both announced", func() bool { return c.store.Keys(platformtest.MemberTopic) == 2 })
	<-time.After(5 * time.Second) // members are read, and a witness has to run for some seconds
	// The instance has the whole allowance of 167,200 tokens.
	check.Equal(c.status(0, "before", "key", 60_000, 2*time.Second), http.StatusOK)
	<-time.After(time.Second)
	c.stops[0]()
	c.wg.Wait()
	if outage == 0 {
		c.store.Delay(platformtest.SpendingTopic, 10*time.Second)
	}
	c.store.SetDown(outage > 0)
	c.entries[0].FirstStart = false
	c.launchEntry(0)
	<-time.After(outage)
	c.store.SetDown(false)
	c.eventually("ready", func() bool { return c.entryReady(0) })
	check.Equal(c.status(0, "within", "key", tokens, 2*time.Second), http.StatusOK)
	check.Equal(c.status(0, "twice", "key", 110_000-tokens, 2*time.Second), http.StatusTooManyRequests)
}
