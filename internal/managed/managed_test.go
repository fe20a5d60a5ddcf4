package managed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	m.Run()
}

const testConfig = `{"version":%d,"routes":[
 {"name":"r","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":4000,"slo_ms":800,"priority":1,"service":"e","attempts":2,"resumable":true}],
"services":[{"name":"e","health_path":"/health","max_conns":100,"cold_s":0,"cold_per_s":0,"engine":{"capacity":8,"weights_mb":100,"max_adapters":4,"loads_per_s":2,
 "models":[{"name":"m1","weights_mb":60,"load_s":1,"adapter_mb":1,"warm_s":0.1,"disk_s":0.2},{"name":"m2","weights_mb":60,"load_s":1,"adapter_mb":1,"warm_s":0.1,"disk_s":0.2}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304},
"tenants":[{"name":"t","api_keys":["%s"],"unit":"tokens","plain_tokens":10,"rate_per_s":10000,"burst_size":10000}]}`

// startFakeServer serves h until the test ends and returns its address.
func startFakeServer(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// testCluster runs one entry instance and one agent with a fake engine and a
// fake store.
type testCluster struct {
	t      *testing.T
	store  *platformtest.Store
	engine *platformtest.Engine
	cache  *platformtest.PromptCache
	// engineAddr is the engine's address.
	engineAddr string
	basePort   int
	stop       context.CancelFunc
	exits      chan error
}

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{t: t, store: platformtest.NewStore(), basePort: freePorts(t, 6), exits: make(chan error, 2), cache: &platformtest.PromptCache{Tokens: 2000, Retained: 64, Calls: 1}}
	c.engine = platformtest.NewEngine(platformtest.EngineOptions{
		ID: "i-1", StartMS: 1, WeightsMB: 100, ModelMB: 60, MaxAdapters: 4, OnDisk: []string{"m1", "m2"}, Events: 3, WorkTime: 150, Cache: c.cache,
	}, "m1")
	storeAddr := startFakeServer(t, c.store)
	c.engineAddr = startFakeServer(t, c.engine)
	c.putConfig(1, "key")
	c.putUpstream("ready")
	bounds := settings.ManagedBounds{
		GraceS: 5, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50, QuotaWindowS: 8, QuotaOver: 0.1, QuotaSlack: 1000,
		ColdOver: 1.5, ColdSlack: 5, LoadWindowS: 5, LoadOver: 1.1,
	}
	common := settings.Managed{
		DataCentre: "z", BindIP: "127.0.0.1", PortRange: [2]int{c.basePort, c.basePort + 5}, StoreAddr: storeAddr, FirstStart: true, Bounds: bounds,
	}
	agent, entry := common, common
	agent.Instance, agent.UpstreamAddr, agent.Service = "agent-1", c.engineAddr, "e"
	entry.Instance, entry.CallerAddr, entry.ReadyAddr = "entry-1", c.addr(4), c.addr(5)
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go func() { c.exits <- RunAgent(ctx, c.newProcess(agent)) }()
	go func() { c.exits <- RunEntry(ctx, c.newProcess(entry)) }()
	t.Cleanup(cancel)
	c.eventually("ready", func() bool { return c.ready() == http.StatusOK })
	return c
}

func (c *testCluster) newProcess(m settings.Managed) *Process {
	return &Process{Settings: m, Logger: zap.NewNop(), Level: zap.NewAtomicLevel(), LoadSettings: func() (settings.Managed, error) { return m, nil }}
}

func (c *testCluster) addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", c.basePort+port) }

func (c *testCluster) putConfig(version int, key string) {
	c.store.Put(platformtest.OperatorTopic, platformtest.ConfigKey, fmt.Sprintf(testConfig, version, key))
}

func (c *testCluster) putUpstream(state string) {
	c.store.Put(platformtest.UpstreamTopic, "i-1", c.engine.UpstreamRecord("e", "z", c.engineAddr, state))
}

func (c *testCluster) ready() int {
	resp, err := http.Get("http://" + c.addr(5) + "/-/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// send sends a request for a model and returns the status code and body.
func (c *testCluster) send(model, key string) (int, string) {
	a := platformtest.Send(context.Background(), http.DefaultTransport, c.addr(4), platformtest.Request{
		ID: "r1", Method: http.MethodPost, Host: "h.example", Path: "/s/x", Key: key, Model: model, Body: "prompt",
		TokensIn: 10, TokensOut: 10, Deadline: 4 * time.Second,
	})
	is.New(c.t).NoErr(a.Err)
	return a.Status, a.Body
}

// eventually polls for at most five seconds.
func (c *testCluster) eventually(what string, condition func() bool) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("condition not met within 5 s: %s", what)
}

const threeEvents = "id: 1\ndata: r1\n\nid: 2\ndata: r1\n\nid: 3\ndata: r1\n\n"

// TestEndToEnd guards against faults between the components when they run
// together over real connections: settings, store, entry instance, agent and
// engine. It covers loading a model and an adapter on request, a revoked key, a
// store outage, a draining upstream and a graceful shutdown.
func TestEndToEnd(t *testing.T) {
	check := is.New(t)
	c := newTestCluster(t)
	status, body := c.send("m1", "key")
	check.Equal(status, http.StatusOK)
	check.Equal(body, threeEvents)
	// The entry instance reads the member records at intervals, so it learns of
	// the agent a moment later.
	c.eventually("load of a model that requires an unload", func() bool {
		status, body = c.send("m2/a1", "key")
		return status == http.StatusOK && body == threeEvents
	})
	check.True(c.engine.LastFence() > 0)
	check.Equal(len(c.engine.Violations()), 0)
	for _, h := range c.engine.RequestHeaders() {
		check.Equal(h.Get("X-Api-Key"), "") // H5
		check.Equal(h.Get("Jacinthbend-Tenant"), "t")
	}

	c.putConfig(2, "new")
	c.eventually("revoked key refused", func() bool { status, _ := c.send("m2", "key"); return status == http.StatusUnauthorized })
	status, _ = c.send("m2", "new")
	check.Equal(status, http.StatusOK)

	refused := c.store.SetDown(true)
	// The entry instance and the agent have both had a call refused.
	c.eventually("calls refused by the store", func() bool { return c.store.Refused()-refused >= 2 })
	status, _ = c.send("m2", "new") // while the store is down
	check.Equal(status, http.StatusOK)
	_ = c.store.SetDown(false)

	c.putUpstream("draining")
	c.eventually("draining upstream not used", func() bool { status, _ := c.send("m2", "new"); return status == http.StatusServiceUnavailable })
	c.putUpstream("ready")
	c.eventually("ready upstream used again", func() bool { status, _ := c.send("m2", "new"); return status == http.StatusOK })

	c.stop()
	c.eventually("not ready", func() bool { return c.ready() == http.StatusServiceUnavailable })
	status, _ = c.send("m2", "new") // the platform still sends requests to a draining instance
	check.Equal(status, http.StatusOK)
	for range 2 {
		check.NoErr(<-c.exits)
	}
}
