package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// entry is one entry instance as a process.
type entry struct {
	name, zone, ip string
	front, ready   string
	ports          [2]int
	// storeAddr is the address of the store for this machine.
	storeAddr string
	settings  string
	logPath   string

	mu      sync.Mutex
	process *exec.Cmd
	// stopped is set at the end of the case; nothing is started any more then.
	stopped bool
}

// bounds are those of the site mugcraft-hq.
var bounds = map[string]any{
	"grace_s": 8, "config_apply_ms": 2000, "drain_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
	"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 110000, "cold_over": 1.5, "cold_slack": 5, "load_window_s": 5, "load_over": 1.1,
}

// newEntry prepares the instance number i, with a loopback address of its own.
func newEntry(dir string, i int, zone string) (*entry, error) {
	e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, ip: loopback(10 + i)}
	ports, err := freePorts(e.ip)
	if err != nil {
		return nil, err
	}
	e.front, e.ready = fmt.Sprintf("%s:%d", e.ip, ports[0]), fmt.Sprintf("%s:%d", e.ip, ports[1])
	e.ports = [2]int{ports[2], ports[2] + 7}
	e.settings = filepath.Join(dir, e.name+".json")
	e.logPath = filepath.Join(dir, e.name+".log")
	return e, nil
}

// loopback returns a loopback address of this process's own, so that cases that run side by side don't take
// the ports of a process that is being started again.
func loopback(host int) string {
	const octets = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octets%octets, 1+pid%octets, host)
}

// freePorts returns two free ports and the first of eight free ports in a row.
func freePorts(ip string) ([3]int, error) {
	var out [3]int
	for base := 21000; base < 60000; base += 16 {
		var held []net.Listener
		for p := base; p < base+10; p++ {
			if ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p)); err == nil {
				held = append(held, ln)
			}
		}
		free := len(held) == 10
		for _, ln := range held {
			_ = ln.Close()
		}
		if free {
			return [3]int{base, base + 1, base + 2}, nil
		}
	}
	return out, fmt.Errorf("no free ports at %s", ip)
}

// writeSettings writes the settings file as the platform fills deploy/entry.json.tmpl in.
func (e *entry) writeSettings(first bool) error {
	data, err := json.MarshalIndent(map[string]any{
		"instance": e.name, "data_centre": e.zone, "bind_ip": e.ip, "port_range": e.ports, "caller_addr": e.front, "ready_addr": e.ready,
		"store_addr": e.storeAddr, "first_start": first, "memory_mb": 284, "cpu_share": 0.304, "spill_weight": 1, "bounds": bounds,
		"duties_template": map[string]any{"addr": []any{nil}, "names": []any{nil}, "calls_per_s": []any{nil}, "usage_window_s": []any{nil}, "usage_tolerance": []any{nil}, "usage_late_s": []any{nil}, "lease_ms": []any{3000}, "require_fence": []any{false}},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (e *entry) start(root string) error {
	out, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(root, "target/jacinthbend"), "serve", "--settings", e.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return errors.New("the case is over")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.process = cmd
	return nil
}

// stop ends the process for good.
func (e *entry) stop() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.kill()
}

// kill ends the process with SIGKILL.
func (e *entry) kill() {
	e.mu.Lock()
	cmd := e.process
	e.process = nil
	e.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
