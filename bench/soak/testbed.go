package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// Numbers of processes, and sizes of the upstreams' answers.
const (
	entryCount   = 3
	engineCount  = 3
	serviceCount = 2
	streamEvents = 12
	// plainTokens is the charge for a request without token counts.
	plainTokens = 20
)

// bounds are the platform's guarantees that the soak checks.
var bounds = settings.ManagedBounds{
	GraceS: 5, RetryRatio: 0.2, RetryWindowS: 5, RetrySlack: 60, QuotaWindowS: 4, QuotaOver: 0.1, QuotaSlack: 400,
	ColdOver: 1.5, ColdSlack: 5, LoadWindowS: 5, LoadOver: 1.1,
}

const (
	// smallTeam's rate is lower than what its callers send.
	smallTeam  = "small"
	smallRate  = 300.0
	smallBurst = 600.0

	startTimeout     = 15 * time.Second
	settingsFileMode = 0o600
)

// instance is an entry or agent process with the proxies of its links.
type instance struct {
	*fleet.Process
	// storeLink leads to the store. callerLink leads from the callers to an entry
	// instance; it is nil for an agent.
	storeLink, callerLink *proxy
	readyAddr             string
	// signalMu is held while one fault signals the process, so that no other fault
	// signals it meanwhile.
	signalMu sync.Mutex
}

// testbed holds the processes, the store and the upstreams of a run, and the links
// between them.
type testbed struct {
	dir           string
	checker       *checker
	store         *platformtest.Store
	storeAddr     string
	servers       []*http.Server
	entries       []*instance
	agents        []*instance
	hosts         []*upstreamHost
	configVersion int
	keys          []string
	mu            sync.Mutex
}

func newTestbed(dir string, b fleet.Binaries) (*testbed, error) {
	tb := &testbed{dir: dir, checker: newChecker(), store: platformtest.NewStore(), keys: []string{"key-large", "key-small"}}
	addr, server, err := serve(tb.store)
	if err != nil {
		return nil, err
	}
	tb.storeAddr, tb.servers = addr, append(tb.servers, server)
	tb.publishConfig()
	for i := range engineCount + serviceCount {
		h := &upstreamHost{index: i, engine: i < engineCount}
		if h.link, err = newProxy(""); err != nil {
			return tb, err
		}
		tb.hosts = append(tb.hosts, h)
		if err := tb.startUpstream(h); err != nil {
			return tb, err
		}
	}
	for i := range engineCount {
		if err := tb.startAgent(i, b.Agent); err != nil {
			return tb, err
		}
	}
	for i := range entryCount {
		if err := tb.startEntry(i, b.Entry); err != nil {
			return tb, err
		}
	}
	return tb, tb.waitReady()
}

// serve starts an HTTP server for a stand-in and returns its address.
func serve(h http.Handler) (string, *http.Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen for stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), s, nil
}

// publishConfig publishes the next configuration version. The route time-outs
// change with the version.
func (tb *testbed) publishConfig() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.configVersion += 3
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weights_mb": 40, "load_s": 1, "adapters": 2, "adapter_mb": 1, "warm_s": 0.1, "disk_s": 0.2}
	}
	route := func(name, prefix, idempotency, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": idempotency, "timeout_ms": 4000 + tb.configVersion, "slo_ms": 800,
			"priority": 1, "service": service, "attempts": attempts, "resumable": idempotency == "streaming",
		}
	}
	doc := map[string]any{
		"version": tb.configVersion,
		"routes": []any{
			route("order", "/order/", "non_idempotent", "desk", 1), route("lookup", "/lookup/", "idempotent", "desk", 2),
			route("draft", "/draft/", "streaming", "writers", 2),
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/health", "max_conns": 100},
			map[string]any{"name": "writers", "health_path": "/health", "max_conns": 100, "engine": map[string]any{
				"capacity": 8, "weights_mb": 100, "max_adapters": 4, "loads_per_s": 2, "models": []any{model("m1"), model("m2"), model("m3")},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
		"tenants": []any{
			map[string]any{"name": "large", "api_keys": tb.keys[:1], "unit": "tokens", "plain_tokens": plainTokens, "rate_per_s": 1e6, "burst_size": 1e6},
			map[string]any{"name": smallTeam, "api_keys": tb.keys[1:], "unit": "tokens", "plain_tokens": plainTokens, "rate_per_s": smallRate, "burst_size": smallBurst},
		},
	}
	tb.store.Put(platformtest.OperatorTopic, platformtest.ConfigKey, mustJSON(doc))
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// startUpstream starts an upstream under a new id and registers it.
func (tb *testbed) startUpstream(h *upstreamHost) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startCount++
	h.id = fmt.Sprintf("i-%d-%d", h.index, h.startCount)
	startMS := time.Now().UnixMilli()
	dc := dataCentre(h.index)
	var handler http.Handler
	var registration string
	if h.engine {
		e := platformtest.NewEngine(platformtest.EngineOptions{
			ID: h.id, Version: fmt.Sprintf("v%d", 1+(h.index+h.startCount)%2), StartMS: startMS, WeightsMB: 100, ModelMB: 40, MaxAdapters: 4, OnDisk: []string{"m1", "m2", "m3"}, LoadTime: 300 * time.Millisecond,
			Events: streamEvents, EventTime: 25 * time.Millisecond, WorkTime: []int{60, 120, 300}[h.index], OnRun: func(r platformtest.Run) {
				tb.checker.recordRun(r)
				tb.crashUnder(h, r)
			},
		}, []string{"m1", "m2", "m1"}[h.index])
		h.engines = append(h.engines, e)
		handler, registration = e, e.UpstreamRecord("writers", dc, h.link.addr(), "ready")
	} else {
		s := &platformtest.Service{ID: h.id, StartMS: startMS, Latency: 15 * time.Millisecond, WorkTime: 120, OnRun: tb.checker.recordRun}
		handler, registration = s, s.UpstreamRecord("desk", dc, h.link.addr(), "ready")
	}
	addr, server, err := serve(handler)
	if err != nil {
		return err
	}
	h.server = server
	h.link.setTarget(addr)
	if err := h.link.reopen(); err != nil {
		return err
	}
	tb.store.Put(platformtest.UpstreamTopic, h.id, registration)
	return nil
}

// crashUpstream closes an upstream and all its connections, and returns its id, or false if
// it is down already: whoever crashed it starts it again. The upstream stays registered.
func (tb *testbed) crashUpstream(h *upstreamHost) (id string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return "", false
	}
	h.link.close()
	_ = h.server.Close()
	h.server = nil
	return h.id, true
}

// deregister removes a crashed upstream from the upstream list.
func (tb *testbed) deregister(id string) { tb.store.Put(platformtest.UpstreamTopic, id, "") }

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%entryCount) }

// startAgent starts the agent of the upstream with index i.
func (tb *testbed) startAgent(i int, binary string) error {
	in, managed, err := tb.newInstance(fmt.Sprintf("agent-%d", i), i)
	if err != nil {
		return err
	}
	managed.UpstreamAddr, managed.Service = tb.hosts[i].link.addr(), "writers"
	tb.agents = append(tb.agents, in)
	return tb.launch(in, binary, managed)
}

func (tb *testbed) startEntry(i int, binary string) error {
	in, managed, err := tb.newInstance(fmt.Sprintf("entry-%d", i), i)
	if err != nil {
		return err
	}
	if managed.CallerAddr, err = standin.FreeAddr(); err != nil {
		return err
	}
	if managed.ReadyAddr, err = standin.FreeAddr(); err != nil {
		return err
	}
	in.readyAddr = managed.ReadyAddr
	if in.callerLink, err = newProxy(managed.CallerAddr); err != nil {
		return err
	}
	tb.entries = append(tb.entries, in)
	return tb.launch(in, binary, managed)
}

// newInstance returns a process that is not started yet, with its own link to the
// store, and its settings.
func (tb *testbed) newInstance(name string, i int) (*instance, settings.Managed, error) {
	link, err := newProxy(tb.storeAddr)
	if err != nil {
		return nil, settings.Managed{}, err
	}
	port, err := freePortRange()
	if err != nil {
		return nil, settings.Managed{}, err
	}
	return &instance{storeLink: link}, settings.Managed{
		Instance: name, DataCentre: dataCentre(i), BindIP: "127.0.0.1", PortRange: [2]int{port, port + portsPerProcess - 1},
		StoreAddr: link.addr(), FirstStart: true, MemoryMB: 200, SpillWeight: 1, Bounds: bounds,
	}, nil
}

// launch writes the settings and starts the program. It also writes the settings
// for later starts, with FirstStart false, for clearFirstStart.
func (tb *testbed) launch(in *instance, binary string, s settings.Managed) error {
	path := filepath.Join(tb.dir, s.Instance+".json")
	if err := os.WriteFile(path, []byte(mustJSON(s)), settingsFileMode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	in.Process = fleet.NewProcess(s.Instance, filepath.Join(tb.dir, s.Instance+".log"), binary, "serve", "--settings", path)
	if err := in.Restart(); err != nil {
		return err
	}
	s.FirstStart = false
	return errors.Wrap(os.WriteFile(path+".next", []byte(mustJSON(s)), settingsFileMode), "write settings")
}

// portsPerProcess is the size of a process's port range. It holds one peer and one
// operator port for an entry instance and the same for an agent.
const portsPerProcess = 4

// freePortRange returns the first of portsPerProcess consecutive ports on which nothing
// listens.
func freePortRange() (int, error) {
	const maxAttempts = 200
	for range maxAttempts {
		addr, err := standin.FreeAddr()
		if err != nil {
			return 0, err
		}
		var port int
		if _, err := fmt.Sscanf(addr[strings.LastIndexByte(addr, ':')+1:], "%d", &port); err != nil {
			return 0, errors.Wrap(err, "parse free address")
		}
		free := true
		for i := range portsPerProcess {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			// Advance FreeAddr past this range, so that the next call returns another.
			for range portsPerProcess {
				if _, err := standin.FreeAddr(); err != nil {
					return 0, err
				}
			}
			return port, nil
		}
	}
	return 0, errors.New("no free port range found")
}

// ready reports whether the entry instance's readiness probe succeeds.
func (in *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.readyAddr+platformtest.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all entry instances are ready, then prepares the settings
// for restarts.
func (tb *testbed) waitReady() error {
	const pollInterval = 20 * time.Millisecond
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		readyCount := 0
		for _, e := range tb.entries {
			if e.ready() {
				readyCount++
			}
		}
		if readyCount == len(tb.entries) {
			return tb.clearFirstStart()
		}
	}
	return errors.Errorf("not all entry instances became ready within %v", startTimeout)
}

// clearFirstStart replaces every settings file by the one with FirstStart false,
// for restarts.
func (tb *testbed) clearFirstStart() error {
	for _, in := range append(append([]*instance{}, tb.entries...), tb.agents...) {
		path := filepath.Join(tb.dir, in.Name+".json")
		if err := os.Rename(path+".next", path); err != nil {
			return errors.Wrap(err, "replace settings")
		}
	}
	return nil
}

// stop ends all processes, links and servers.
func (tb *testbed) stop() {
	for _, in := range append(append([]*instance{}, tb.entries...), tb.agents...) {
		if in.Process != nil {
			in.KillIfRunning()
		}
		in.storeLink.close()
		if in.callerLink != nil {
			in.callerLink.close()
		}
	}
	for _, h := range tb.hosts {
		h.link.close()
		if h.server != nil {
			_ = h.server.Close()
		}
	}
	for _, s := range tb.servers {
		_ = s.Close()
	}
}
