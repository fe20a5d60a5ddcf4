// Command second runs the cases of the second review: it starts the programs of the deploy file as
// processes on loopback addresses, with stand-ins of the platform's store, servers and clients.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	cannotRun  = 2
	readyLimit = 15 * time.Second
)

var cases = map[string]func(b *bed) (int, error){
	"crash-reports": crashReports,
	"refunds":       refunds,
}

// bed is a small deployment of entry instances without engines.
type bed struct {
	root, dir string
	trouble   bool
	record    *os.File
	began     time.Time
	store     *store
	entries   []*entry
	servers   []*server
	recorder  *recorder

	mu sync.Mutex
	// sent has when each request was sent.
	sent map[string]time.Time
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD; it runs in the root of the repository")
		os.Exit(cannotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(cannotRun)
	}
	os.Exit(runCase(run, os.Args[2]))
}

func runCase(run func(*bed) (int, error), recordPath string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	b := &bed{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(), store: newStore(), recorder: &recorder{}, sent: make(map[string]time.Time)}
	code, err := b.runUntilEnd(run)
	for _, e := range b.started() {
		e.stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, e := range b.started() {
			if data, err := os.ReadFile(e.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(keep, e.name+".log"), data, 0o600)
			}
		}
	}
	if err != nil {
		b.logf("the case could not run: %v", err)
		return cannotRun
	}
	b.logf("result: exit %d", code)
	return code
}

// caseLimit is the longest time of a case.
const caseLimit = 110 * time.Second

// runUntilEnd runs the case, and gives it up after caseLimit or at a signal to end.
func (b *bed) runUntilEnd(run func(*bed) (int, error)) (int, error) {
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := run(b)
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		return r.code, r.err
	case s := <-signals:
		return cannotRun, fmt.Errorf("ended by %v", s)
	case <-time.After(caseLimit):
		return cannotRun, fmt.Errorf("not over after %v", caseLimit)
	}
}

// started returns the entry instances that were started.
func (b *bed) started() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*entry(nil), b.entries...)
}

// logf writes a line to the record and to standard output.
func (b *bed) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = b.record.WriteString(line)
	if !strings.Contains(format, "\t") {
		fmt.Print(line)
	}
}

// startStore serves the store at an address for one machine.
func (b *bed) startStore() (addr string, err error) {
	ln, err := net.Listen("tcp", loopback(2)+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: b.store}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// startEntries starts n entry instances and waits until all are ready.
func (b *bed) startEntries(n int) error {
	for i := range n {
		e, err := newEntry(b.dir, i, zones[i%len(zones)])
		if err != nil {
			return err
		}
		if e.storeAddr, err = b.startStore(); err != nil {
			return err
		}
		b.mu.Lock()
		b.entries = append(b.entries, e)
		b.mu.Unlock()
		if err := e.writeSettings(true); err != nil {
			return err
		}
		if err := e.start(b.root); err != nil {
			return err
		}
	}
	return b.waitReady()
}

func (b *bed) waitReady() error {
	end := time.Now().Add(readyLimit)
	for _, e := range b.entries {
		for !e.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// restart kills entry instances at the same moment; the platform starts them again.
func (b *bed) restart(entries ...*entry) {
	for _, e := range entries {
		e.kill()
	}
	b.logf("%d entry processes killed (SIGKILL)", len(entries))
	time.Sleep(restartDelay)
	for _, e := range entries {
		if err := e.writeSettings(false); err != nil {
			b.logf("settings of %s: %v", e.name, err)
		}
		if err := e.start(b.root); err != nil {
			b.logf("start of %s: %v", e.name, err)
		}
	}
	b.logf("%d entry processes started again", len(entries))
}

var zones = []string{"bkk-a", "bkk-b", "bkk-c", "bkk-d"}

// heartbeat writes the servers' entries to the store as they do, until the process ends.
func (b *bed) heartbeat(beat time.Duration) {
	// seen has when each id was last written; an entry is removed after three intervals of silence.
	seen := make(map[string]time.Time)
	write := func() {
		for _, s := range b.servers {
			if id, down := s.identity(); !down {
				b.store.put("keyed.servers", id, s.entry())
				seen[id] = time.Now()
			}
		}
		for id, at := range seen {
			if time.Since(at) > 3*beat {
				b.store.put("keyed.servers", id, "")
				delete(seen, id)
			}
		}
	}
	write()
	go func() {
		for range time.Tick(beat) {
			write()
		}
	}()
}
