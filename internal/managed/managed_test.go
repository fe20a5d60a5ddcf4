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

// serveStandIn serves a stand-in until the test ends and returns its address.
func serveStandIn(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// site is one entry instance, one agent and one engine over stand-ins.
type site struct {
	t      *testing.T
	store  *platformtest.Store
	engine *platformtest.Engine
	// engineAddr is where the engine listens.
	engineAddr string
	base       int
	stop       context.CancelFunc
	ended      chan error
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: platformtest.NewStore(), base: freePorts(t, 6), ended: make(chan error, 2)}
	s.engine = platformtest.NewEngine(platformtest.EngineOptions{
		ID: "i-1", StartMS: 1, WeightsMB: 100, ModelMB: 60, MaxAdapters: 4, OnDisk: []string{"m1", "m2"}, Events: 3,
	}, "m1")
	storeAddr := serveStandIn(t, s.store)
	s.engineAddr = serveStandIn(t, s.engine)
	s.config(1, "key")
	s.entry("ready")
	bounds := settings.ManagedBounds{
		GraceS: 5, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50, QuotaWindowS: 8, QuotaOver: 0.1, QuotaSlack: 1000,
		ColdOver: 1.5, ColdSlack: 5, LoadWindowS: 5, LoadOver: 1.1,
	}
	common := settings.Managed{
		DataCentre: "z", BindIP: "127.0.0.1", PortRange: [2]int{s.base, s.base + 5}, StoreAddr: storeAddr, FirstStart: true, Bounds: bounds,
	}
	agent, entry := common, common
	agent.Instance, agent.UpstreamAddr, agent.Service = "agent-1", s.engineAddr, "e"
	entry.Instance, entry.CallerAddr, entry.ReadyAddr = "entry-1", s.addr(4), s.addr(5)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.ended <- RunAgent(ctx, s.process(agent)) }()
	go func() { s.ended <- RunEntry(ctx, s.process(entry)) }()
	t.Cleanup(cancel)
	s.eventually("ready", func() bool { return s.ready() == http.StatusOK })
	return s
}

func (s *site) process(m settings.Managed) *Process {
	return &Process{Settings: m, Logger: zap.NewNop(), Level: zap.NewAtomicLevel(), Load: func() (settings.Managed, error) { return m, nil }}
}

func (s *site) addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", s.base+port) }

func (s *site) config(version int, key string) {
	s.store.Put(platformtest.OperatorTopic, platformtest.ConfigKey, fmt.Sprintf(testConfig, version, key))
}

func (s *site) entry(state string) {
	s.store.Put(platformtest.UpstreamTopic, "i-1", s.engine.UpstreamRecord("e", "z", s.engineAddr, state))
}

func (s *site) ready() int {
	resp, err := http.Get("http://" + s.addr(5) + "/-/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// send sends a request for a model and returns the status and the body.
func (s *site) send(model, key string) (int, string) {
	a := platformtest.Send(context.Background(), http.DefaultTransport, s.addr(4), platformtest.Request{
		ID: "r1", Method: http.MethodPost, Host: "h.example", Path: "/s/x", Key: key, Model: model, Body: "prompt",
		TokensIn: 10, TokensOut: 10, Deadline: 4 * time.Second,
	})
	is.New(s.t).NoErr(a.Err)
	return a.Status, a.Body
}

// eventually polls for at most five seconds.
func (s *site) eventually(what string, f func() bool) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.t.Fatalf("not within 5 s: %s", what)
}

const threeEvents = "id: 1\ndata: r1\n\nid: 2\ndata: r1\n\nid: 3\ndata: r1\n\n"

// TestPath guards against a break anywhere on the whole path over real
// connections: settings, store, entry instance, agent, engine; a load and an
// adapter on the way; a withdrawn key; a leaving upstream; a planned stop.
func TestPath(t *testing.T) {
	check := is.New(t)
	s := newSite(t)
	status, body := s.send("m1", "key")
	check.Equal(status, http.StatusOK)
	check.Equal(body, threeEvents)
	// Members are read at intervals, so the agent is known a moment later.
	s.eventually("load of a model that displaces another", func() bool {
		status, body = s.send("m2/a1", "key")
		return status == http.StatusOK && body == threeEvents
	})
	check.True(s.engine.LastFence() > 0)
	check.Equal(len(s.engine.Violations()), 0)
	for _, h := range s.engine.RequestHeaders() {
		check.Equal(h.Get("X-Api-Key"), "") // H5
		check.Equal(h.Get("Jacinthbend-Tenant"), "t")
	}

	s.config(2, "new")
	s.eventually("withdrawn key refused", func() bool { status, _ := s.send("m2", "key"); return status == http.StatusUnauthorized })
	status, _ = s.send("m2", "new")
	check.Equal(status, http.StatusOK)

	refused := s.store.SetDown(true)
	// Both roles have met the outage.
	s.eventually("calls refused by the store", func() bool { return s.store.Refused()-refused >= 2 })
	status, _ = s.send("m2", "new") // without the store
	check.Equal(status, http.StatusOK)
	_ = s.store.SetDown(false)

	s.entry("draining")
	s.eventually("leaving upstream out of use", func() bool { status, _ := s.send("m2", "new"); return status == http.StatusServiceUnavailable })
	s.entry("ready")
	s.eventually("upstream back", func() bool { status, _ := s.send("m2", "new"); return status == http.StatusOK })

	s.stop()
	s.eventually("not ready", func() bool { return s.ready() == http.StatusServiceUnavailable })
	status, _ = s.send("m2", "new") // the platform still sends requests
	check.Equal(status, http.StatusOK)
	for range 2 {
		check.NoErr(<-s.ended)
	}
}
