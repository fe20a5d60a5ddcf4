package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// Options of a run.
type Options struct {
	Binaries fleet.Binaries
	Seed     uint64
	// FaultDuration is how long faults are played.
	FaultDuration time.Duration
	// Dir takes settings and logs.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// PlannedOnly tells that only planned work was played: then no request may be lost.
	PlannedOnly                 bool
	Requests, Served           int
	RequestsAfterRecovery, ServedAfterRecovery int
	Violations                []string
	Faults                  []string
}

// Times after the faults.
const (
	// recovery is the platform's time until service is back.
	recovery = 8 * time.Second
	measured = 3 * time.Second
	// inForce is when a configuration has to be in force.
	inForce = 3 * time.Second
	// leastServed of the requests have to be served after the recovery.
	leastServed = 0.9
	// plannedOneIn seeds play planned work only.
	plannedOneIn = 4
)

// Run plays one seed.
func Run(o Options) (Report, error) {
	rep := Report{Seed: o.Seed, PlannedOnly: o.Seed%plannedOneIn == 0}
	w, err := newWorld(o.Dir, o.Binaries)
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return rep, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	calling := w.callers(ctx, o.Seed)
	f := &faults{w: w}
	f.run(o.Seed, o.FaultDuration, rep.PlannedOnly)
	over := time.Now()
	time.Sleep(recovery)
	last := time.Now()
	time.Sleep(measured)
	cancel()
	calling.Wait()
	w.judge(&rep, start, over, last)
	w.withdrawKey()
	w.ledger.mu.Lock()
	rep.Violations, rep.Faults = w.ledger.breaches, f.log
	w.ledger.mu.Unlock()
	return rep, nil
}

// judge checks what can be told only at the end.
func (w *world) judge(rep *Report, start, over, last time.Time) {
	l := w.ledger
	window := time.Duration(bounds.QuotaWindowS * float64(time.Second))
	l.quota(smallTeam, window, (smallRate*bounds.QuotaWindowS+smallBurst)*(1+bounds.QuotaOver)+bounds.QuotaSlack)
	l.repeats(time.Duration(bounds.RetryWindowS*float64(time.Second)), bounds.RetryRatio, bounds.RetrySlack)
	rep.Requests, rep.Served = l.servedSince(start)
	rep.RequestsAfterRecovery, rep.ServedAfterRecovery = l.servedSince(last)
	l.mu.Lock()
	if float64(rep.ServedAfterRecovery) < leastServed*float64(rep.RequestsAfterRecovery) || rep.RequestsAfterRecovery == 0 {
		l.breach("recovery", "%d of %d requests were served from %v after the faults", rep.ServedAfterRecovery, rep.RequestsAfterRecovery, recovery)
	}
	for _, h := range w.hosts {
		for _, e := range h.engines {
			for _, b := range e.Breaches() {
				l.breach("order", "%s", b)
			}
		}
	}
	l.mu.Unlock()
	if rep.PlannedOnly {
		for _, lost := range l.lost(start, over) {
			l.mu.Lock()
			l.breach("lost in planned work", "%s", lost)
			l.mu.Unlock()
		}
	}
}

// withdrawKey checks that a key is refused everywhere once it is withdrawn.
func (w *world) withdrawKey() {
	old := w.keys[0]
	w.keys[0] = "key-new"
	w.configure()
	time.Sleep(inForce)
	for i, e := range w.entries {
		t := &http.Transport{}
		a := platformtest.Send(context.Background(), t, e.callers.addr(), platformtest.Request{
			ID: fmt.Sprintf("withdrawn-%d", i), Method: http.MethodGet, Host: "h.example", Path: "/lookup/1", Key: old, Deadline: deadline,
		})
		t.CloseIdleConnections()
		if a.Status != http.StatusUnauthorized {
			w.ledger.mu.Lock()
			w.ledger.breach("withdrawn key", "entry %d answered %d, error %v", i, a.Status, a.Err)
			w.ledger.mu.Unlock()
		}
	}
}

// Logs returns the paths of the processes' logs.
func Logs(dir string) []string {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil
	}
	return paths
}

// TempDir returns a new directory for a seed.
func TempDir(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("jacinthbend-soak-%d-", seed))
}
