package poison

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	// pollEvery is the interval at which a withheld answer looks for the report.
	pollEvery = 100 * time.Millisecond
	// reportAfter is how long the entry instance leaves the report to the agent,
	// which may have died during it.
	reportAfter = 2 * time.Second
)

// Guard is the entry instance's part: it refuses quarantined requests and
// withholds the answer of a crashed attempt, so that a resend meets instances
// that know of the crash.
type Guard struct {
	known     *CrashTable
	agents    AgentClient
	log       Appender
	peers     Notifier
	viewBound time.Duration
	hooks     *hooks
}

// FailedAttempt is an attempt that ended with its connection, at the agent or at the
// upstream.
type FailedAttempt struct {
	Digest Digest
	Agent   record.HomeRef
	// BootID is that of the upstream when the attempt was sent.
	BootID string
}

// NewGuard returns the guard of one entry instance. viewBound is the bound of
// the view age after which every working instance has folded a record.
func NewGuard(known *CrashTable, agents AgentClient, log Appender, peers Notifier, viewBound time.Duration) *Guard {
	return &Guard{known: known, agents: agents, log: log, peers: peers, viewBound: viewBound, hooks: &hooks{}}
}

// Check refuses a quarantined request (request_quarantined, not run).
func (g *Guard) Check(d Digest) error {
	if g.hooks.noRefusal {
		return nil
	}
	return g.known.Check(d)
}

// Withhold returns when the failed answer may go to the caller: at once when
// the upstream has not crashed, else when the report is folded and viewBound
// has passed, or when ctx ends with the caller's deadline.
func (g *Guard) Withhold(ctx context.Context, f FailedAttempt) {
	if g.hooks.noWithhold {
		return
	}
	g.hooks.reach(StepFailureHeld)
	crashID := CrashID(f.Agent.Instance, f.BootID)
	var since, reported time.Time
	for ctx.Err() == nil {
		if g.known.InView(f.Digest, crashID) {
			g.hooks.reach(StepCrashInView)
			sleep(ctx, g.viewBound)
			return
		}
		crashed, alive := g.ask(ctx, f)
		if alive {
			return
		}
		if crashed && since.IsZero() {
			since = time.Now()
		}
		overdue := !since.IsZero() && time.Since(since) >= reportAfter
		if overdue && time.Since(reported) >= reportAfter {
			reported = time.Now()
			g.report(ctx, record.PoisonCrash{CrashID: crashID, Home: f.Agent, Digests: []string{string(f.Digest)}})
		}
		sleep(ctx, pollEvery)
	}
	g.suspect(ctx, CrashNotice{PoisonCrash: record.PoisonCrash{CrashID: crashID, Home: f.Agent, Digests: []string{string(f.Digest)}}})
}

// suspect tells the peers of a failure that nobody explained before the
// deadline, so that the resend runs alone among suspects. The notice lapses
// unless a report confirms it.
func (g *Guard) suspect(ctx context.Context, n CrashNotice) {
	g.known.ApplyNotice(n)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bootTimeout)
	defer cancel()
	g.peers.Notify(ctx, n)
}

// ask reads the upstream's boot id through its agent. An upstream that does not
// answer its living agent counts as crashed. Neither is true while the agent
// does not answer.
func (g *Guard) ask(ctx context.Context, f FailedAttempt) (crashed, alive bool) {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout*2)
	defer cancel()
	boot, err := g.agents.BootStatus(ctx, f.Agent.Instance)
	if err != nil {
		return false, false
	}
	alive = !boot.Down && boot.BootID == f.BootID
	return !alive, alive
}

func (g *Guard) report(ctx context.Context, crash record.PoisonCrash) {
	g.known.ApplyNotice(CrashNotice{PoisonCrash: crash})
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	g.hooks.reach(StepBeforeReport)
	if err := g.log.Append(ctx, crash); err != nil {
		g.peers.Notify(ctx, CrashNotice{PoisonCrash: crash})
	}
}
