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

// Options configure a run.
type Options struct {
	Binaries fleet.Binaries
	Seed     uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Dir is where settings files and logs are written.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// PlannedOnly is true if only planned operations were injected: then no request
	// may be lost.
	PlannedOnly                                bool
	Requests, Served                           int
	RequestsAfterRecovery, ServedAfterRecovery int
	// Harmed is how many engines crashed under requests with the harmful part.
	Harmed     int
	Violations []string
	Faults     []string
}

const (
	// recoveryTime is how long after the last fault service must be restored.
	recoveryTime = 8 * time.Second
	// measureTime is how long the served requests are counted after the recovery.
	measureTime = 3 * time.Second
	// configPropagation is how long a new configuration may take to be in force.
	configPropagation = 3 * time.Second
	// minServedRatio is the share of requests that must be served after the recovery.
	minServedRatio = 0.9
	// One seed in plannedOneIn injects planned operations only.
	plannedOneIn = 4
)

// Run starts all processes, injects the faults of one seed and returns the
// violations found.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed, PlannedOnly: o.Seed%plannedOneIn == 0}
	tb, err := newTestbed(o.Dir, o.Binaries)
	if tb != nil {
		defer tb.stop()
	}
	if err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	callers := tb.startCallers(ctx, o.Seed)
	if hasHarmfulPart(o.Seed) {
		callers.Go(func() { tb.sendHarmful(ctx, o.Seed) })
	}
	f := &faultInjector{tb: tb}
	f.run(o.Seed, o.FaultDuration, report.PlannedOnly)
	faultsEnded := time.Now()
	time.Sleep(recoveryTime)
	recovered := time.Now()
	time.Sleep(measureTime)
	cancel()
	callers.Wait()
	tb.checkAfterRun(&report, start, faultsEnded, recovered)
	tb.checkWithdrawnKey()
	tb.checker.mu.Lock()
	report.Harmed = len(tb.checker.harmed)
	report.Violations, report.Faults = tb.checker.violations, f.log
	tb.checker.mu.Unlock()
	return report, nil
}

// checkAfterRun makes the checks that need the record of the whole run.
func (tb *testbed) checkAfterRun(report *Report, start, faultsEnded, recovered time.Time) {
	c := tb.checker
	window := time.Duration(bounds.QuotaWindowS * float64(time.Second))
	c.checkQuota(smallTeam, window, (smallRate*bounds.QuotaWindowS+smallBurst)*(1+bounds.QuotaOver)+bounds.QuotaSlack)
	c.checkRetryBudget(time.Duration(bounds.RetryWindowS*float64(time.Second)), bounds.RetryRatio, bounds.RetrySlack)
	c.checkHarmful(faultsEnded)
	report.Requests, report.Served = c.countServedSince(start)
	report.RequestsAfterRecovery, report.ServedAfterRecovery = c.countServedSince(recovered)
	c.mu.Lock()
	if float64(report.ServedAfterRecovery) < minServedRatio*float64(report.RequestsAfterRecovery) || report.RequestsAfterRecovery == 0 {
		c.addViolation("recovery", "%d of %d requests were served later than %v after the last fault", report.ServedAfterRecovery, report.RequestsAfterRecovery, recoveryTime)
	}
	for _, h := range tb.hosts {
		for _, e := range h.engines {
			for _, breach := range e.Violations() {
				c.addViolation("order", "%s", breach)
			}
		}
	}
	c.mu.Unlock()
	if report.PlannedOnly {
		for _, lost := range c.lostRequests(start, faultsEnded) {
			c.mu.Lock()
			c.addViolation("lost in planned operations", "%s", lost)
			c.mu.Unlock()
		}
	}
}

// checkWithdrawnKey replaces a key and checks that every entry instance refuses
// the old one once the change must be in force.
func (tb *testbed) checkWithdrawnKey() {
	old := tb.keys[0]
	tb.keys[0] = "key-new"
	tb.publishConfig()
	time.Sleep(configPropagation)
	for i, e := range tb.entries {
		t := &http.Transport{}
		a := platformtest.Send(context.Background(), t, e.callerLink.addr(), platformtest.Request{
			ID: fmt.Sprintf("withdrawn-%d", i), Method: http.MethodGet, Host: "h.example", Path: "/lookup/1", Key: old, Deadline: requestDeadline,
		})
		t.CloseIdleConnections()
		if a.Status != http.StatusUnauthorized {
			tb.checker.mu.Lock()
			tb.checker.addViolation("withdrawn key", "entry %d answered %d, error %v", i, a.Status, a.Err)
			tb.checker.mu.Unlock()
		}
	}
}

// Logs returns the paths of the log files in dir.
func Logs(dir string) []string {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil
	}
	return paths
}

// TempDir creates a temporary directory for the run of a seed.
func TempDir(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("jacinthbend-soak-%d-", seed))
}
