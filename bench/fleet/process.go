package fleet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// clockTicksPerS is the unit of the processor times in /proc.
const clockTicksPerS = 100

// Process is one running binary.
type Process struct {
	Name string
	// CallerAddr is set for entry instances.
	CallerAddr   string
	PeerAddr     string
	OperatorAddr string

	args []string
	log  string
	cmd  *exec.Cmd
	done chan error
}

// NewProcess returns a program with its arguments that is not started yet; it
// writes to the file log.
func NewProcess(name, log string, args ...string) *Process {
	return &Process{Name: name, args: args, log: log}
}

// KillIfRunning kills the process if it runs, also when it is paused.
func (p *Process) KillIfRunning() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	select {
	case <-p.done:
	case <-time.After(time.Second): // its end was taken by another caller
	}
}

// start runs the program with its settings file.
func (p *Process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open process log")
	}
	defer out.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan<- error) { done <- cmd.Wait() }(p.cmd, p.done)
	return nil
}

// Restart starts the program again after it has ended.
func (p *Process) Restart() error { return p.start() }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop asks the process to drain and waits for its end.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return errors.Wrapf(err, "%s ended", p.Name)
	case <-time.After(timeout):
		return errors.Errorf("%s has not ended after %v", p.Name, timeout)
	}
}

// Log returns what the process has written.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// CPU returns the processor time used so far.
func (p *Process) CPU() (time.Duration, error) {
	data, err := os.ReadFile(p.proc("stat"))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// The fields after the command name start behind its closing bracket.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const utime, stime = 11, 12
	user, err := strconv.ParseInt(fields[utime], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse user time")
	}
	system, err := strconv.ParseInt(fields[stime], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse system time")
	}
	return time.Duration(user+system) * time.Second / clockTicksPerS, nil
}

// RSS returns the resident memory in bytes.
func (p *Process) RSS() (int64, error) {
	data, err := os.ReadFile(p.proc("statm"))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "parse resident memory")
}

func (p *Process) proc(file string) string {
	return filepath.Join("/proc", fmt.Sprint(p.cmd.Process.Pid), file)
}
