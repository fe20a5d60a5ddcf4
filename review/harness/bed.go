package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Hosts, paths and keys of the configuration.
const (
	host      = "shop.example"
	plainPath = "/status/1"
	checkPath = "/check/1"
	draftPath = "/draft/1"
	bulkPath  = "/bulk/1"
	model     = "m0"
	apiKey    = "key-of-the-only-tenant"
	heartbeat = 1200 * time.Millisecond
)

// errNotRun means that the case could not run.
var errNotRun = errors.New("the case could not run")

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// bed holds the stand-ins and the processes of a case.
type bed struct {
	store     *store
	storeAddr string
	dir       string
	started   time.Time

	mu      sync.Mutex
	record  *os.File
	procs   []*process
	servers []*serverEntry
	// ran has the ids of the requests that servers began to run.
	ran map[string]bool
}

// process is a program of the system or a server.
type process struct {
	bed  *bed
	name string
	args []string
	// settings are the fields of the platform's settings file; nil for a server.
	settings map[string]any
	template string
	front    string
	ready    string
	cmd      *exec.Cmd
	done     chan struct{}
	state    string
}

// serverEntry is what a server says of itself to the store.
type serverEntry struct {
	id     string
	fields map[string]any
	gone   bool
}

func newBed(recordPath string) *bed {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	f, err := os.Create(recordPath)
	check(err)
	b := &bed{store: newStore(), dir: dir, started: time.Now(), record: f, ran: make(map[string]bool)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	b.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, b.store) }()
	go b.heartbeats()
	return b
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// noteRun remembers the request that a line of a server says it runs.
func (b *bed) noteRun(line string) {
	if f := strings.Fields(line); len(f) > 1 && f[0] == "run" {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ran[f[1]] = true
	}
}

// hasRun reports whether a server has begun to run the request.
func (b *bed) hasRun(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}

// stop ends all processes.
func (b *bed) stop() {
	b.mu.Lock()
	procs := append([]*process(nil), b.procs...)
	b.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

func (b *bed) heartbeats() {
	for range time.Tick(heartbeat) {
		b.mu.Lock()
		servers := append([]*serverEntry(nil), b.servers...)
		b.mu.Unlock()
		for _, s := range servers {
			b.report(s)
		}
	}
}

// report writes the entry of a server, as the server does in each heartbeat. A server whose call
// is rejected tries again with the next one.
func (b *bed) report(s *serverEntry) {
	b.mu.Lock()
	if s.gone || b.store.isDown() {
		b.mu.Unlock()
		return
	}
	s.fields["sequence"] = s.fields["sequence"].(int) + 1
	fields := make(map[string]any)
	for k, v := range s.fields {
		fields[k] = v
	}
	b.mu.Unlock()
	b.store.put("keyed.servers", s.id, fields)
}

// set changes fields of a server's entry and reports them.
func (b *bed) set(s *serverEntry, fields map[string]any) {
	b.mu.Lock()
	for k, v := range fields {
		s.fields[k] = v
	}
	b.mu.Unlock()
	b.report(s)
}

// startServer starts a server process and registers it.
func (b *bed) startServer(id, service, zone string, args ...string) (*process, *serverEntry) {
	addr := freeAddr()
	born := time.Now().UnixMilli()
	self, err := os.Executable()
	check(err)
	p := &process{bed: b, name: id, args: append([]string{self, "server", "--listen", addr, "--id", id, "--born", fmt.Sprint(born)}, args...)}
	b.add(p)
	p.start()
	waitFor("server "+id, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	s := &serverEntry{id: id, fields: map[string]any{
		"service": service, "address": addr, "zone": zone, "version": "v1", "capacity": 64, "state": "ready", "cold_left_ms": 0, "sequence": 0, "born": born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	}}
	if service == "writers" {
		s.fields["models"] = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	}
	b.mu.Lock()
	b.servers = append(b.servers, s)
	b.mu.Unlock()
	b.report(s)
	return p, s
}

// publishConfig writes the operator's configuration.
func (b *bed) publishConfig(version int) {
	route := func(name, path, kind, service string, resumable bool, attempts, timeoutMS int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeoutMS, "slo_ms": 1200,
			"priority": 1, "attempts": attempts, "public": false, "resumable": resumable, "gap_aim_ms": 500,
		}
	}
	b.store.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("status", "/status/", "idempotent", "desk", false, 2, 10000), route("draft", "/draft/", "streaming", "writers", true, 2, 10000),
			route("bulk", "/bulk/", "streaming", "writers", false, 1, 10000),
			route("check", "/check/", "idempotent", "desk", false, 2, 800),
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/health", "max_conns": 110, "cold_s": 0, "cold_per_s": 0},
			map[string]any{"name": "writers", "health_path": "/health", "max_conns": 370, "cold_s": 3, "cold_per_s": 8, "engine": map[string]any{
				"capacity": 64, "kv_capacity": 225426, "weights_mb": 160000, "max_adapters": 8, "loads_per_s": 4.2,
				"models": []any{map[string]any{"name": model, "weights_mb": 65100, "load_s": 6, "adapters": 0, "adapter_mb": 12, "warm_s": 0.3, "disk_s": 0.39}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shops", "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 128848, "burst_size": 128848}},
	})
}

// newProcess prepares a program of the system, with the command of the deploy file.
func (b *bed) newProcess(name, role, zone string, more map[string]any) *process {
	program, template, class := "target/jacinthbend", "deploy/entry.json.tmpl", "edge"
	if role == "agent" {
		program, template, class = "target/jacinthbend-agent", "deploy/agent.json.tmpl", "side"
	}
	port := freePorts()
	p := &process{bed: b, name: name, template: template, args: []string{program, "serve", "--settings", filepath.Join(b.dir, name+".json")}}
	p.settings = map[string]any{
		"node_name": name, "role": role, "machine_class": class, "zone": zone, "bind_ip": "127.0.0.1", "port_range": []int{port, port + 15}, "bootstrap": true,
		"limits":   map[string]any{"memory_mb": 284, "cpu_share": 0.304},
		"provider": map[string]any{"address": b.storeAddr},
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
			"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 110000, "cold_over": 1.5, "cold_slack": 5, "ceiling_window_s": 5, "ceiling_over": 1.1,
		},
	}
	if role == "entry" {
		p.front, p.ready = freeAddr(), freeAddr()
		p.settings["listen"] = map[string]any{"front": p.front, "ready": p.ready}
	}
	for k, v := range more {
		p.settings[k] = v
	}
	b.add(p)
	return p
}

// add remembers a process that stop has to end.
func (b *bed) add(p *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.procs = append(b.procs, p)
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`)

// writeSettings fills the template of the role in, as the platform does at each start.
func (p *process) writeSettings() {
	text, err := os.ReadFile(p.template)
	check(err)
	filled := placeholder.ReplaceAllStringFunc(string(text), func(s string) string {
		var v any = p.settings
		for _, name := range strings.Split(placeholder.FindStringSubmatch(s)[1], ".") {
			m, _ := v.(map[string]any)
			v = m[name]
		}
		data, err := json.Marshal(v)
		check(err)
		return string(data)
	})
	check(os.WriteFile(filepath.Join(p.bed.dir, p.name+".json"), []byte(filled), 0o600))
}

// start starts the process.
func (p *process) start() {
	if p.template != "" {
		p.writeSettings()
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	out, err := p.cmd.StdoutPipe()
	check(err)
	logFile, err := os.OpenFile(filepath.Join(p.bed.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p.cmd.Stderr = logFile
	check(p.cmd.Start())
	p.bed.note("%s started", p.name)
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if p.template == "" {
				p.bed.note("%s: %s", p.name, lines.Text())
				p.bed.noteRun(lines.Text())
			}
		}
		err := cmd.Wait()
		_ = logFile.Close()
		p.bed.note("%s ended: %v", p.name, err)
		close(done)
	}(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) {
	p.bed.note("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// restartable makes later starts no first start of the whole system.
func (p *process) restartable() *process {
	p.settings["bootstrap"] = false
	return p
}

// isReady asks the readiness address as the platform does.
func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits for a condition and gives the case up if it does not come.
func waitFor(what string, f func() bool) {
	for end := time.Now().Add(15 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(fmt.Errorf("%w: %s", errNotRun, what))
		}
	}
}

func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// freePorts returns the first of 16 free ports in a row, below the range of ephemeral ports.
func freePorts() int {
	// Scripts that run at the same time begin in different places.
	const count, from, to, places, perPlace = 16, 21000, 31000, 60, 160
	nextPorts.Lock()
	defer nextPorts.Unlock()
	if nextPorts.port == 0 {
		nextPorts.port = from + os.Getpid()%places*perPlace
	}
	for range (to - from) / count {
		port := nextPorts.port
		if nextPorts.port += count; nextPorts.port > to {
			nextPorts.port = from
		}
		free := true
		for i := range count {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return port
		}
	}
	panic(fmt.Errorf("%w: no free ports", errNotRun))
}

var nextPorts struct {
	sync.Mutex
	port int
}

// answer is what a client got for one request.
type answer struct {
	id       string
	sent     time.Time
	took     time.Duration
	status   int
	body     string
	complete bool
	err      error
}

func (a answer) String() string {
	return fmt.Sprintf("request %s: status %d after %d ms, %d bytes, complete %v, error %v", a.id, a.status, a.took.Milliseconds(), len(a.body), a.complete, a.err)
}

// send sends one request on a new connection and reads the answer to its end.
func (b *bed) send(front, id, path string, timeout time.Duration) answer {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	body := strings.Repeat("x", 1000)
	if path == plainPath {
		body = ""
	}
	return b.sendBy(&c, front, id, path, body, timeout)
}

// sendBy sends one request with a client, which may keep its connection. It is a POST if it has a
// body: the client of the standard library repeats a GET by itself.
func (b *bed) sendBy(c *http.Client, front, id, path, text string, timeout time.Duration) answer {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if text != "" {
		method, body = http.MethodPost, strings.NewReader(text)
	}
	req, err := http.NewRequest(method, "http://"+front+path, body)
	check(err)
	if path != plainPath && path != checkPath {
		req.Header.Set("Jacinthbend-Model", model)
		req.Header.Set("Jacinthbend-Token-Count", "300,100")
		req.Header.Set("Jacinthbend-Prompt-Prefix", "5c1e07a2:200,e4402b7d:100")
	}
	req.Host = host
	req.Header.Set("Jacinthbend-Request-Id", id)
	req.Header.Set("Jacinthbend-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Accept-Encoding", "identity")
	a := answer{id: id, sent: time.Now()}
	b.note("request %s sent to %s%s", id, front, path)
	resp, err := c.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body, a.complete = string(body), err == nil
	}
	a.err, a.took = err, time.Since(a.sent)
	b.note("%v", a)
	return a
}
