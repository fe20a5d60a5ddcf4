package poison

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	// bootIDTimeout bounds one read of the boot id.
	bootIDTimeout = 500 * time.Millisecond
	// unreachableTimeout is how long an upstream may be unreachable after its
	// connection was lost before the reporter reports a crash. It cannot wait for
	// the restart: a restart can outlast the caller's deadline, and the caller's
	// resend must not reach instances that do not know of the crash. If the boot id
	// turns out to be unchanged, the reporter withdraws the report.
	unreachableTimeout = time.Second
	// appendTimeout bounds one append of a report.
	appendTimeout = 2 * time.Second
)

// Reporter runs in agents. When the connection to the upstream is lost, it finds
// out whether the upstream crashed, and reports the digests of the requests that
// were running.
type Reporter struct {
	self       record.InstanceRef
	tracker    *Tracker
	crashTable *CrashTable
	bootIDs    BootIDReader
	log        Appender
	peers      Notifier
	hooks      *hooks

	mu     sync.Mutex
	bootID string
	// investigation is closed when the running investigation ends; nil when none
	// is running.
	investigation chan struct{}
}

// NewReporter returns the reporter of the agent incarnation self.
func NewReporter(self record.InstanceRef, tracker *Tracker, crashTable *CrashTable, bootIDs BootIDReader, log Appender, peers Notifier) *Reporter {
	return &Reporter{self: self, tracker: tracker, crashTable: crashTable, bootIDs: bootIDs, log: log, peers: peers, hooks: &hooks{}}
}

// Init reads the upstream's boot id for the first time. The agent sends no
// request to the upstream before Init has succeeded.
func (r *Reporter) Init(ctx context.Context) error {
	id, err := r.readBootID(ctx)
	if err != nil {
		return errkind.Wrap(errkind.UpstreamUnavailable, "cannot read the upstream's boot id", err)
	}
	r.setBootID(id)
	return nil
}

// BootID returns the last boot id read from the upstream. The agent sends it with
// every response, so that an entry instance can detect a crash by itself.
func (r *Reporter) BootID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bootID
}

// BootStatus reads the boot id from the upstream now. Entry instances call it.
func (r *Reporter) BootStatus(ctx context.Context) BootStatus {
	id, err := r.readBootID(ctx)
	return BootStatus{BootID: id, Down: err != nil}
}

// End removes a request that has ended. If the request was a suspect and has
// completed, End clears it at this instance and appends a record that clears it at
// every other instance. It does not retry a failed append, so other agents then
// treat the request as a suspect until it completes at one of them.
func (r *Reporter) End(ctx context.Context, d Digest, completed bool) {
	if !r.tracker.End(d, completed) {
		return
	}
	r.crashTable.Clear(d)
	_ = r.append(ctx, record.PoisonCleared{Digests: []string{string(d)}})
}

// ConnectionLost investigates whether the upstream crashed. Call it when a
// connection to the upstream breaks. It returns when the result is known and,
// after a crash, a first attempt to report it has been made. If an investigation
// is already running, it waits for that one instead.
func (r *Reporter) ConnectionLost(ctx context.Context) {
	r.mu.Lock()
	if running := r.investigation; running != nil {
		r.mu.Unlock()
		<-running
		return
	}
	done := make(chan struct{})
	r.investigation = done
	r.mu.Unlock()
	r.investigate(ctx)
	r.mu.Lock()
	r.investigation = nil
	r.mu.Unlock()
	close(done)
}

func (r *Reporter) investigate(ctx context.Context) {
	r.tracker.freeze()
	r.hooks.reach(StepConnectionLost)
	oldBootID := r.BootID()
	crash := record.PoisonCrash{CrashID: CrashID(r.self.Instance, oldBootID), Agent: r.self, Digests: r.tracker.suspects()}
	// If the entry instance dies too, its caller resends at once, before any
	// instance can have applied a crash record. The notice makes these digests
	// suspects right away, so that no upstream runs two of them together.
	r.notify(ctx, CrashNotice{PoisonCrash: crash})
	start := time.Now()
	reported := false
	for ctx.Err() == nil {
		id, err := r.readBootID(ctx)
		if err == nil {
			r.conclude(ctx, crash, id, id != oldBootID, reported)
			return
		}
		if !reported && time.Since(start) >= unreachableTimeout {
			reported = true
			r.hooks.reach(StepCrashDecided)
			r.report(ctx, crash)
		}
		sleep(ctx, bootIDTimeout/5)
	}
}

// conclude ends an investigation. id is the upstream's current boot id. crashed
// says whether the boot id changed, and reported whether the reporter reported a
// crash while the upstream was still unreachable.
func (r *Reporter) conclude(ctx context.Context, crash record.PoisonCrash, id string, crashed, reported bool) {
	r.setBootID(id)
	switch {
	case crashed && !reported:
		r.hooks.reach(StepCrashDecided)
		// The crash must be in the table before the tracker admits requests again.
		r.crashTable.ApplyNotice(CrashNotice{PoisonCrash: crash})
		r.tracker.unfreeze(true)
		r.report(ctx, crash)
	case !crashed:
		r.tracker.unfreeze(false)
		r.withdraw(ctx, crash, reported)
	default:
		r.tracker.unfreeze(crashed)
	}
}

// notify applies a notice at this instance and sends it to the peers, without the
// log.
func (r *Reporter) notify(ctx context.Context, n CrashNotice) {
	if len(n.Digests) == 0 {
		return
	}
	r.crashTable.ApplyNotice(n)
	r.peers.Notify(ctx, n)
}

func (r *Reporter) withdraw(ctx context.Context, crash record.PoisonCrash, reported bool) {
	r.notify(ctx, CrashNotice{PoisonCrash: crash, Withdrawn: true})
	if reported {
		_ = r.append(ctx, record.PoisonCleared{Digests: crash.Digests})
	}
}

// report appends the crash to the log. If the first append fails, it retries in
// the background, so that the tracker need not refuse requests until the log is
// available again. After each failed append it sends the notice to the peers
// again, because notices expire.
func (r *Reporter) report(ctx context.Context, crash record.PoisonCrash) {
	if len(crash.Digests) == 0 || r.tryReport(ctx, crash) {
		return
	}
	go func() {
		retryBackoff := newReportBackoff()
		for ctx.Err() == nil {
			sleep(ctx, retryBackoff.NextBackOff())
			if r.tryReport(ctx, crash) {
				return
			}
		}
	}()
}

func (r *Reporter) tryReport(ctx context.Context, crash record.PoisonCrash) bool {
	r.crashTable.ApplyNotice(CrashNotice{PoisonCrash: crash})
	r.hooks.reach(StepBeforeReport)
	if err := r.append(ctx, crash); err != nil {
		r.peers.Notify(ctx, CrashNotice{PoisonCrash: crash})
		return false
	}
	r.hooks.reach(StepReported)
	return true
}

func (r *Reporter) append(ctx context.Context, b record.Body) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return r.log.Append(ctx, b)
}

func (r *Reporter) readBootID(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, bootIDTimeout)
	defer cancel()
	return r.bootIDs.BootID(ctx)
}

func (r *Reporter) setBootID(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bootID = id
}

// newReportBackoff returns a backoff without jitter, because crashes of different
// upstreams do not happen at the same time.
func newReportBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 200 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	b.RandomizationFactor = 0
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
