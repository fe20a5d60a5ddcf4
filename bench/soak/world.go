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

// Sizes of the world.
const (
	entryCount   = 3
	engineCount  = 3
	serviceCount = 2
	streamEvents = 12
	plainTokens  = 20
)

// bounds are the platform's terms in the soak.
var bounds = settings.ManagedBounds{
	GraceS: 5, RetryRatio: 0.2, RetryWindowS: 5, RetrySlack: 60, QuotaWindowS: 4, QuotaOver: 0.1, QuotaSlack: 400,
	ColdOver: 1.5, ColdSlack: 5, LoadWindowS: 5, LoadOver: 1.1,
}

// The team whose rate is lower than what its callers send.
const (
	smallTeam        = "small"
	smallRate        = 300.0
	smallBurst       = 600.0
	startTimeout     = 15 * time.Second
	settingsFileMode = 0o600
)

// instance is one process with its links.
type instance struct {
	*fleet.Process
	// store is the link to the store, callers that of an entry instance's callers.
	store, callers *proxy
	readyAddr      string
	// busy keeps two series of signals from meeting at one process.
	busy sync.Mutex
}

// upstreamHost serves one upstream, which can crash and start again.
type upstreamHost struct {
	index  int
	engine bool
	link   *proxy

	mu     sync.Mutex
	server *http.Server
	starts int
	id     string
	// engines are all its starts.
	engines []*platformtest.Engine
}

// world is everything that runs.
type world struct {
	dir       string
	ledger    *ledger
	store     *platformtest.Store
	storeAddr string
	servers   []*http.Server
	entries   []*instance
	agents    []*instance
	hosts     []*upstreamHost
	version   int
	keys      []string
	mu        sync.Mutex
}

func newWorld(dir string, b fleet.Binaries) (*world, error) {
	w := &world{dir: dir, ledger: newLedger(), store: platformtest.NewStore(), keys: []string{"key-large", "key-small"}}
	addr, server, err := serve(w.store)
	if err != nil {
		return nil, err
	}
	w.storeAddr, w.servers = addr, append(w.servers, server)
	w.configure()
	for i := range engineCount + serviceCount {
		h := &upstreamHost{index: i, engine: i < engineCount}
		if h.link, err = newProxy(""); err != nil {
			return w, err
		}
		w.hosts = append(w.hosts, h)
		if err := w.startUpstream(h); err != nil {
			return w, err
		}
	}
	for i := range engineCount {
		if err := w.startAgent(i, b.Agent); err != nil {
			return w, err
		}
	}
	for i := range entryCount {
		if err := w.startEntry(i, b.Entry); err != nil {
			return w, err
		}
	}
	return w, w.waitReady()
}

// serve serves a stand-in.
func serve(h http.Handler) (string, *http.Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), s, nil
}

// configure publishes the next configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weights_mb": 40, "load_s": 1, "adapters": 2, "adapter_mb": 1, "warm_s": 0.1, "disk_s": 0.2}
	}
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 4000 + w.version, "slo_ms": 800,
			"priority": 1, "service": service, "attempts": attempts, "resumable": kind == "streaming",
		}
	}
	doc := map[string]any{
		"version": w.version,
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
			map[string]any{"name": "large", "api_keys": w.keys[:1], "unit": "tokens", "plain_tokens": plainTokens, "rate_per_s": 1e6, "burst_size": 1e6},
			map[string]any{"name": smallTeam, "api_keys": w.keys[1:], "unit": "tokens", "plain_tokens": plainTokens, "rate_per_s": smallRate, "burst_size": smallBurst},
		},
	}
	w.store.Put(platformtest.OperatorTopic, platformtest.ConfigKey, mustJSON(doc))
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// startUpstream starts an upstream anew, under a new id.
func (w *world) startUpstream(h *upstreamHost) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.id = fmt.Sprintf("i-%d-%d", h.index, h.starts)
	born := time.Now().UnixMilli()
	dc := dataCentre(h.index)
	var handler http.Handler
	var entry string
	if h.engine {
		e := platformtest.NewEngine(platformtest.EngineOptions{
			ID: h.id, Born: born, WeightsMB: 100, ModelMB: 40, MaxAdapters: 4, OnDisk: []string{"m1", "m2", "m3"}, LoadTime: 300 * time.Millisecond,
			Events: streamEvents, EventTime: 25 * time.Millisecond, OnRun: w.ledger.ran,
		}, []string{"m1", "m2", "m1"}[h.index])
		h.engines = append(h.engines, e)
		handler, entry = e, e.Entry("writers", dc, h.link.addr(), "ready")
	} else {
		s := &platformtest.Service{ID: h.id, Born: born, Work: 15 * time.Millisecond, OnRun: w.ledger.ran}
		handler, entry = s, s.Entry("desk", dc, h.link.addr(), "ready")
	}
	addr, server, err := serve(handler)
	if err != nil {
		return err
	}
	h.server = server
	h.link.retarget(addr)
	w.store.Put(platformtest.UpstreamTopic, h.id, entry)
	return nil
}

// crashUpstream ends an upstream with all its connections and returns its id.
func (w *world) crashUpstream(h *upstreamHost) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.link.reset()
	_ = h.server.Close()
	return h.id
}

// forget takes the entry of a crashed upstream out of the list.
func (w *world) forget(id string) { w.store.Put(platformtest.UpstreamTopic, id, "") }

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%entryCount) }

// startAgent and startEntry start a process behind its own link to the store.
// Each has a loopback address of its own.
func (w *world) startAgent(i int, binary string) error {
	in, common, err := w.instance(fmt.Sprintf("agent-%d", i), i)
	if err != nil {
		return err
	}
	common.UpstreamAddr, common.Service = w.hosts[i].link.addr(), "writers"
	w.agents = append(w.agents, in)
	return w.launch(in, binary, common)
}

func (w *world) startEntry(i int, binary string) error {
	in, common, err := w.instance(fmt.Sprintf("entry-%d", i), i)
	if err != nil {
		return err
	}
	if common.CallerAddr, err = standin.FreeAddr(); err != nil {
		return err
	}
	if common.ReadyAddr, err = standin.FreeAddr(); err != nil {
		return err
	}
	in.readyAddr = common.ReadyAddr
	if in.callers, err = newProxy(common.CallerAddr); err != nil {
		return err
	}
	w.entries = append(w.entries, in)
	return w.launch(in, binary, common)
}

func (w *world) instance(name string, i int) (*instance, settings.Managed, error) {
	link, err := newProxy(w.storeAddr)
	if err != nil {
		return nil, settings.Managed{}, err
	}
	port, err := freePorts()
	if err != nil {
		return nil, settings.Managed{}, err
	}
	return &instance{store: link}, settings.Managed{
		Instance: name, DataCentre: dataCentre(i), BindIP: "127.0.0.1", PortRange: [2]int{port, port + portsEach - 1},
		StoreAddr: link.addr(), FirstStart: true, MemoryMB: 200, Bounds: bounds,
	}, nil
}

// launch writes the settings and starts the program. All later starts are no
// first start.
func (w *world) launch(in *instance, binary string, s settings.Managed) error {
	path := filepath.Join(w.dir, s.Instance+".json")
	if err := os.WriteFile(path, []byte(mustJSON(s)), settingsFileMode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	in.Process = fleet.NewProcess(s.Instance, filepath.Join(w.dir, s.Instance+".log"), binary, "serve", "--settings", path)
	if err := in.Restart(); err != nil {
		return err
	}
	s.FirstStart = false
	return errors.Wrap(os.WriteFile(path+".next", []byte(mustJSON(s)), settingsFileMode), "write settings")
}

// portsEach is what one process needs: two links and their operators' ports.
const portsEach = 4

// freePorts returns the first of portsEach ports on which nobody listens.
func freePorts() (int, error) {
	const tries = 200
	for range tries {
		addr, err := standin.FreeAddr()
		if err != nil {
			return 0, err
		}
		var port int
		if _, err := fmt.Sscanf(addr[strings.LastIndexByte(addr, ':')+1:], "%d", &port); err != nil {
			return 0, errors.Wrap(err, "parse a free address")
		}
		free := true
		for i := range portsEach {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			// The ports after the first are skipped by the next call.
			for range portsEach {
				if _, err := standin.FreeAddr(); err != nil {
					return 0, err
				}
			}
			return port, nil
		}
	}
	return 0, errors.New("no free range of ports")
}

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

// waitReady waits until all entry instances are ready.
func (w *world) waitReady() error {
	const poll = 20 * time.Millisecond
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(poll) {
		n := 0
		for _, e := range w.entries {
			if e.ready() {
				n++
			}
		}
		if n == len(w.entries) {
			return w.laterStarts()
		}
	}
	return errors.Errorf("not all entry instances were ready within %v", startTimeout)
}

// laterStarts makes every further start of a program no first start.
func (w *world) laterStarts() error {
	for _, in := range append(append([]*instance{}, w.entries...), w.agents...) {
		path := filepath.Join(w.dir, in.Name+".json")
		if err := os.Rename(path+".next", path); err != nil {
			return errors.Wrap(err, "replace settings")
		}
	}
	return nil
}

// stop ends everything that the soak started.
func (w *world) stop() {
	for _, in := range append(append([]*instance{}, w.entries...), w.agents...) {
		if in.Process != nil {
			in.KillIfRunning()
		}
		in.store.close()
		if in.callers != nil {
			in.callers.close()
		}
	}
	for _, h := range w.hosts {
		h.link.close()
		if h.server != nil {
			_ = h.server.Close()
		}
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}
