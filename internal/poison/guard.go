package poison

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	// pollInterval is the interval at which Withhold checks for the crash report.
	pollInterval = 100 * time.Millisecond
	// reportDelay is how long the entry instance waits for the agent's report
	// before it reports the crash itself, because the agent may have died before
	// its report was appended.
	reportDelay = 2 * time.Second
)

// Guard runs in entry instances. It refuses quarantined requests. It also delays
// the failure response of an attempt whose upstream may have crashed, so that all
// instances know of the crash before the caller can resend the request.
type Guard struct {
	crashTable *CrashTable
	agents     AgentClient
	log        Appender
	peers      Notifier
	maxViewAge time.Duration
	hooks      *hooks
}

// FailedAttempt is an attempt that failed because the connection to the agent or
// to the upstream was lost.
type FailedAttempt struct {
	Digest Digest
	Agent  record.InstanceRef
	// BootID is the upstream's boot id at the time the attempt was sent.
	BootID string
}

// NewGuard returns the guard of one entry instance. An instance whose view is older
// than maxViewAge accepts no work. So maxViewAge after a record was appended, every
// instance that accepts work has applied it.
func NewGuard(crashTable *CrashTable, agents AgentClient, log Appender, peers Notifier, maxViewAge time.Duration) *Guard {
	return &Guard{crashTable: crashTable, agents: agents, log: log, peers: peers, maxViewAge: maxViewAge, hooks: &hooks{}}
}

// Check returns request_quarantined (not run) for a quarantined request.
func (g *Guard) Check(d Digest) error {
	if g.hooks.noRefusal {
		return nil
	}
	return g.crashTable.Check(d)
}

// Withhold blocks until the failure response may be sent to the caller. If the
// upstream did not crash, it returns as soon as the agent says so. Otherwise it
// returns maxViewAge after it finds the crash report in this instance's view, or
// when ctx ends at the caller's deadline.
func (g *Guard) Withhold(ctx context.Context, f FailedAttempt) {
	if g.hooks.noDelay {
		return
	}
	g.hooks.reach(StepFailureHeld)
	crashID := CrashID(f.Agent.Instance, f.BootID)
	var crashedSince, reportedAt time.Time
	for ctx.Err() == nil {
		if g.crashTable.InView(f.Digest, crashID) {
			g.hooks.reach(StepCrashInView)
			sleep(ctx, g.maxViewAge)
			return
		}
		crashed, alive := g.checkUpstream(ctx, f)
		if alive {
			return
		}
		if crashed && crashedSince.IsZero() {
			crashedSince = time.Now()
		}
		overdue := !crashedSince.IsZero() && time.Since(crashedSince) >= reportDelay
		if overdue && time.Since(reportedAt) >= reportDelay {
			reportedAt = time.Now()
			g.report(ctx, record.PoisonCrash{CrashID: crashID, Agent: f.Agent, Digests: []string{string(f.Digest)}})
		}
		sleep(ctx, pollInterval)
	}
	g.notifySuspect(ctx, CrashNotice{PoisonCrash: record.PoisonCrash{CrashID: crashID, Agent: f.Agent, Digests: []string{string(f.Digest)}}})
}

// notifySuspect makes the request a suspect at the peers if no crash report was in
// the view by the caller's deadline. A resend of the request then does not run
// together with other suspects. The notice expires unless a crash report confirms
// it.
func (g *Guard) notifySuspect(ctx context.Context, n CrashNotice) {
	g.crashTable.ApplyNotice(n)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bootIDTimeout)
	defer cancel()
	g.peers.Notify(ctx, n)
}

// checkUpstream reads the upstream's boot id through its agent. An upstream that
// its agent cannot reach counts as crashed. If the agent itself cannot be
// reached, both results are false.
func (g *Guard) checkUpstream(ctx context.Context, f FailedAttempt) (crashed, alive bool) {
	ctx, cancel := context.WithTimeout(ctx, bootIDTimeout*2)
	defer cancel()
	boot, err := g.agents.BootStatus(ctx, f.Agent.Instance)
	if err != nil {
		return false, false
	}
	alive = !boot.Down && boot.BootID == f.BootID
	return !alive, alive
}

func (g *Guard) report(ctx context.Context, crash record.PoisonCrash) {
	g.crashTable.ApplyNotice(CrashNotice{PoisonCrash: crash})
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	g.hooks.reach(StepBeforeReport)
	if err := g.log.Append(ctx, crash); err != nil {
		g.peers.Notify(ctx, CrashNotice{PoisonCrash: crash})
	}
}
