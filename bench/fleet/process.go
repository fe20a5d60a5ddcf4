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

// clockTicksPerS is the number of clock ticks per second, the unit of the CPU
// times in /proc.
const clockTicksPerS = 100

// Process is a program of the fleet. It can be started, stopped and restarted.
type Process struct {
	Name string
	// CallerAddr is set for entry instances.
	CallerAddr   string
	PeerAddr     string
	OperatorAddr string

	args    []string
	logPath string
	cmd     *exec.Cmd
	// done receives the result of cmd.Wait, once.
	done chan error
}

// NewProcess returns a process that is not started yet. args[0] is the program;
// its output is appended to the file logPath.
func NewProcess(name, logPath string, args ...string) *Process {
	return &Process{Name: name, args: args, logPath: logPath}
}

// KillIfRunning kills the process if it is running, even if it is stopped by
// SIGSTOP, and waits up to 1 s for its exit.
func (p *Process) KillIfRunning() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	select {
	case <-p.done:
	case <-time.After(time.Second): // another caller already received from done
	}
}

// start starts the program and appends its output to the log file.
func (p *Process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
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

// Restart starts the program again after it has exited.
func (p *Process) Restart() error { return p.start() }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop sends SIGTERM, which makes the process drain, and waits until it has
// exited.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return errors.Wrapf(err, "%s exited", p.Name)
	case <-time.After(timeout):
		return errors.Errorf("%s has not exited after %v", p.Name, timeout)
	}
}

// Log returns the contents of the log file.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// CPU returns the CPU time used so far.
func (p *Process) CPU() (time.Duration, error) {
	data, err := os.ReadFile(p.procPath("stat"))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The command name is in parentheses and may hold spaces, so the fields are
	// split after the closing one.
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
	data, err := os.ReadFile(p.procPath("statm"))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "parse resident memory")
}

func (p *Process) procPath(file string) string {
	return filepath.Join("/proc", fmt.Sprint(p.cmd.Process.Pid), file)
}
