package main

import (
	"encoding/json"
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

// Process is one of the project's programs, started with the command of the deploy file.
type Process struct {
	name, caller, ready string
	args                []string
	log                 *os.File
	cmd                 *exec.Cmd
	done                chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*Process
)

// bounds are those of the sheet of mugcraft-hq.
var bounds = map[string]any{
	"grace_s": 8, "config_apply_ms": 2000, "drain_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56, "quota_window_s": 8,
	"quota_over": 0.1, "quota_slack": 110000, "cold_over": 1.5, "cold_slack": 5, "load_window_s": 5, "load_over": 1.1,
}

// nextPort is below the ports that the system gives to outgoing connections.
var nextPort = 20000 + os.Getpid()%200*60

// freePorts returns the first of n consecutive ports that nothing uses.
func freePorts(n int) int {
	for ; nextPort < 32000; nextPort += n {
		free := true
		for i := range n {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			nextPort += n
			return nextPort - n
		}
	}
	fatal("no free ports")
	return 0
}

// newProcess writes the settings of a process; start starts it.
func newProcess(dir, name, program string, settings map[string]any) *Process {
	port := freePorts(8)
	p := &Process{name: name}
	settings["instance"], settings["bind_ip"], settings["port_range"] = name, "127.0.0.1", []int{port, port + 5}
	settings["bounds"], settings["data_centre"] = bounds, "gau-a"
	settings["cpu_share"] = 0.32
	if program == "jacinthbend" {
		p.caller, p.ready = fmt.Sprintf("127.0.0.1:%d", port+6), fmt.Sprintf("127.0.0.1:%d", port+7)
		settings["caller_addr"], settings["ready_addr"], settings["spill_weight"] = p.caller, p.ready, 1
	}
	data, err := json.Marshal(settings)
	check(err)
	path := filepath.Join(dir, name+".json")
	check(os.WriteFile(path, data, 0o600))
	p.args = []string{filepath.Join(os.Getenv("TARGET"), program), "serve", "--settings", path}
	p.log, err = os.Create(filepath.Join(dir, name+".log"))
	check(err)
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	return p
}

func newEntry(dir, name, storeAddr string, firstStart bool) *Process {
	return newProcess(dir, name, "jacinthbend", map[string]any{"store_addr": storeAddr, "memory_mb": 284, "first_start": firstStart})
}

func newAgent(dir, name string, store *Store, engineAddr, service string) *Process {
	return newProcess(dir, name, "jacinthbend-agent", map[string]any{"store_addr": store.addr, "memory_mb": 216, "upstream_addr": engineAddr, "service": service, "first_start": true})
}

func (p *Process) start() {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
}

func (p *Process) signal(s syscall.Signal) { check(p.cmd.Process.Signal(s)) }

// ended reports whether the process ends within d.
func (p *Process) ended(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

func (p *Process) waitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	fatal("%s is not ready", p.name)
}

// endedProcess returns the name of a program that runs no more, or an empty string.
func endedProcess() string {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.done:
			return p.name
		default:
		}
	}
	return ""
}

func stopProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// fatal ends the case because it could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	record("could not run: "+format, args...)
	cleanUp()
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		fatal("%v", err)
	}
}
