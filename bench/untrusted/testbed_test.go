package untrusted

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

const (
	// memoryMB is the smallest memory limit of the stated machines. The resident memory of a
	// process must stay below it.
	memoryMB = 144
	// openFileLimit is the limit of open files of the processes. maxOpenFiles leaves a quarter of
	// it for upstreams, the store and agents.
	openFileLimit = 512
	maxOpenFiles  = openFileLimit * 3 / 4
	startTimeout  = 20 * time.Second
	// answerTimeout ends the attempts to get an ordinary request answered. It only ends the test
	// of a process that answers nothing.
	answerTimeout = 40 * time.Second
)

const config = `{"version":1,"routes":[
 {"name":"p","host":"h.example","path_prefix":"/p/","kind":"idempotent","timeout_ms":9000,"slo_ms":800,"priority":1,"service":"p","attempts":2}],
"services":[{"name":"p","health_path":"/health","max_conns":100,"cold_s":0,"cold_per_s":0},
 {"name":"e","health_path":"/health","max_conns":100,"cold_s":0,"cold_per_s":0,"engine":{"capacity":8,"weights_mb":100,"max_adapters":4,"loads_per_s":2,"models":[{"name":"m1","weights_mb":60,"load_s":1,"adapter_mb":1,"warm_s":0.1,"disk_s":0.2}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["key"],"unit":"tokens","plain_tokens":1,"rate_per_s":1000000,"burst_size":1000000}]}`

var binaries fleet.Binaries

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "jacinthbend-untrusted")
	if err == nil {
		binaries, err = fleet.Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// port is one listener of a running process.
type port struct {
	*fleet.Process
	// addr takes requests to path.
	addr, path string
	// ordinary sends an ordinary request and reports whether it was served.
	ordinary func() bool
}

// Names of the ports.
const (
	callers = "callers"
	peers   = "peers"
	agent   = "agent"
)

var allPorts = []string{callers, peers, agent}

// start starts the process that has the named port, and what it depends on.
func start(t *testing.T, name string) *port {
	check := is.New(t)
	store := platformtest.NewStore()
	base := freePorts(t)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	s := settings.Managed{
		Instance: name, DataCentre: "z", BindIP: "127.0.0.1", PortRange: [2]int{base, base + 3}, StoreAddr: serve(t, store), FirstStart: true, MemoryMB: memoryMB,
		Bounds: settings.ManagedBounds{
			GraceS: 5, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 200, QuotaWindowS: 8, QuotaOver: 0.1, QuotaSlack: 100000,
			ColdOver: 1.5, ColdSlack: 5, LoadWindowS: 5, LoadOver: 1.1,
		},
	}
	store.Put(platformtest.OperatorTopic, platformtest.ConfigKey, config)
	p, binary := &port{}, binaries.Entry
	switch name {
	case agent:
		binary = binaries.Agent
		s.Service, s.UpstreamAddr = "e", serve(t, platformtest.NewEngine(platformtest.EngineOptions{ID: "i-1", StartMS: 1, WeightsMB: 100, ModelMB: 60, MaxAdapters: 4}, "m1"))
		p.addr, p.path = s.PeerAddr(), "/v1/agent/state"
		p.ordinary = func() bool { return post(p.addr, p.path) == http.StatusOK }
	case peers:
		s.CallerAddr, s.ReadyAddr = at(4), at(5)
		p.addr, p.path = s.PeerAddr(), "/v1/entry/return"
		p.ordinary = func() bool { return post(p.addr, p.path) == http.StatusOK }
	case callers:
		s.CallerAddr, s.ReadyAddr = at(4), at(5)
		service := &platformtest.Service{ID: "u-1", StartMS: 1, OnRun: func(platformtest.Run) {}}
		store.Put(platformtest.UpstreamTopic, "u-1", service.UpstreamRecord("p", "z", serve(t, shortAnswers(service)), "ready"))
		p.addr, p.path = s.CallerAddr, "/p/x"
		p.ordinary = func() bool { return sendOrdinary(p.addr).Status == http.StatusOK }
	}
	data, err := json.Marshal(s)
	check.NoErr(err)
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	check.NoErr(os.WriteFile(file, data, 0o600))
	// The shell sets the limit of open files for the program that replaces it.
	p.Process = fleet.NewProcess(name, filepath.Join(dir, "log"), "sh", "-c", "ulimit -n "+strconv.Itoa(openFileLimit)+`; exec "$0" serve --settings "$1"`, binary, file)
	check.NoErr(p.Restart())
	t.Cleanup(func() {
		p.KillIfRunning()
		if t.Failed() {
			log := p.Log()
			t.Logf("end of the log:\n%s", log[max(0, len(log)-4<<10):])
		}
	})
	if !eventually(startTimeout, p.ordinary) {
		t.Fatal("the process does not answer")
	}
	return p
}

// countPath is a path whose answers do not repeat the body of the request.
const countPath = "/p/count"

// shortAnswers passes requests for countPath on without their bodies.
func shortAnswers(s *platformtest.Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == countPath {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			r.Body = http.NoBody
		}
		s.ServeHTTP(w, r)
	})
}

func sendOrdinary(addr string) platformtest.Response {
	return platformtest.Send(context.Background(), &http.Transport{DisableKeepAlives: true}, addr, platformtest.Request{
		ID: "ordinary", Method: http.MethodPost, Host: "h.example", Path: "/p/x", Key: "key", Body: strings.Repeat("b", 8<<10), Deadline: 8 * time.Second,
	})
}

func post(addr, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	resp, err := client.Post("http://"+addr+path, "application/json", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func eventually(bound time.Duration, condition func() bool) bool {
	const pause = 50 * time.Millisecond
	for end := time.Now().Add(bound); ; time.Sleep(pause) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// freePorts returns the first of six consecutive free ports.
func freePorts(t *testing.T) int {
	const count, attempts = 6, 100
	for range attempts {
		addr, err := standin.FreeAddr()
		is.New(t).NoErr(err)
		_, text, _ := net.SplitHostPort(addr)
		base, err := strconv.Atoi(text)
		is.New(t).NoErr(err)
		free := true
		for i := range count {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}
