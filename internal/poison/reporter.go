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
	// bootTimeout bounds one read of the boot id.
	bootTimeout = 500 * time.Millisecond
	// crashAfter is how long an upstream that lost its connection may be
	// unreachable before a crash is reported. A restart can outlast the caller's
	// deadline, and a resend must not meet instances that know nothing. If the
	// boot id turns out unchanged, the report is withdrawn.
	crashAfter = time.Second
	// appendTimeout bounds one append of a report.
	appendTimeout = 2 * time.Second
)

// Reporter is the agent's part: it finds out whether a lost connection was a
// crash and reports the digests that ran.
type Reporter struct {
	self    record.HomeRef
	tracker *Tracker
	known   *CrashTable
	boots   BootIDReader
	log     Appender
	peers   Notifier
	hooks   *hooks

	mu      sync.Mutex
	bootID  string
	judging chan struct{}
}

// NewReporter returns the reporter of the agent incarnation self.
func NewReporter(self record.HomeRef, tracker *Tracker, known *CrashTable, boots BootIDReader, log Appender, peers Notifier) *Reporter {
	return &Reporter{self: self, tracker: tracker, known: known, boots: boots, log: log, peers: peers, hooks: &hooks{}}
}

// Init reads the boot id. The agent sends no request before it succeeds.
func (r *Reporter) Init(ctx context.Context) error {
	id, err := r.readBoot(ctx)
	if err != nil {
		return errkind.Wrap(errkind.UpstreamUnavailable, "the upstream's boot id cannot be read", err)
	}
	r.setBoot(id)
	return nil
}

// BootID returns the boot id that requests are sent to; it goes out with every
// answer, so that an entry instance can tell a crash by itself.
func (r *Reporter) BootID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bootID
}

// BootStatus answers an entry instance from a fresh read.
func (r *Reporter) BootStatus(ctx context.Context) BootStatus {
	id, err := r.readBoot(ctx)
	return BootStatus{BootID: id, Down: err != nil}
}

// End ends a request. A completed run of a suspect clears it for everyone; if
// that append fails, the next completed run repeats it.
func (r *Reporter) End(ctx context.Context, d Digest, completed bool) {
	if !r.tracker.End(d, completed) {
		return
	}
	r.known.Clear(d)
	_ = r.append(ctx, record.PoisonCleared{Digests: []string{string(d)}})
}

// ConnectionLost is called when the connection to the upstream breaks. It returns
// when the verdict is reached and, after a crash, reported. Calls during a
// judgement join it.
func (r *Reporter) ConnectionLost(ctx context.Context) {
	r.mu.Lock()
	if running := r.judging; running != nil {
		r.mu.Unlock()
		<-running
		return
	}
	done := make(chan struct{})
	r.judging = done
	r.mu.Unlock()
	r.judge(ctx)
	r.mu.Lock()
	r.judging = nil
	r.mu.Unlock()
	close(done)
}

func (r *Reporter) judge(ctx context.Context) {
	r.tracker.freeze()
	r.hooks.reach(StepConnectionLost)
	old := r.BootID()
	crash := record.PoisonCrash{CrashID: CrashID(r.self.Instance, old), Home: r.self, Digests: r.tracker.suspects()}
	// A caller whose entry instance dies resends at once, before any record can
	// be folded. Suspects told now still run apart from each other.
	r.tell(ctx, CrashNotice{PoisonCrash: crash})
	start := time.Now()
	provisional := false
	for ctx.Err() == nil {
		id, err := r.readBoot(ctx)
		if err == nil {
			r.decide(ctx, crash, id, id != old, provisional)
			return
		}
		if !provisional && time.Since(start) >= crashAfter {
			provisional = true
			r.hooks.reach(StepCrashDecided)
			r.report(ctx, crash)
		}
		sleep(ctx, bootTimeout/5)
	}
}

// decide ends the judgement with the upstream's present boot id.
func (r *Reporter) decide(ctx context.Context, crash record.PoisonCrash, id string, crashed, reported bool) {
	r.setBoot(id)
	switch {
	case crashed && !reported:
		r.hooks.reach(StepCrashDecided)
		// The own tracker must know the crash before it admits again.
		r.known.ApplyNotice(CrashNotice{PoisonCrash: crash})
		r.tracker.thaw(true)
		r.report(ctx, crash)
	case !crashed:
		r.tracker.thaw(false)
		r.withdraw(ctx, crash, reported)
	default:
		r.tracker.thaw(crashed)
	}
}

// tell informs this instance and its peers without the log.
func (r *Reporter) tell(ctx context.Context, n CrashNotice) {
	if len(n.Digests) == 0 {
		return
	}
	r.known.ApplyNotice(n)
	r.peers.Notify(ctx, n)
}

func (r *Reporter) withdraw(ctx context.Context, crash record.PoisonCrash, reported bool) {
	r.tell(ctx, CrashNotice{PoisonCrash: crash, Withdrawn: true})
	if reported {
		_ = r.append(ctx, record.PoisonCleared{Digests: crash.Digests})
	}
}

// report appends the crash. While the log is out it goes on in the background,
// since the upstream must not stay closed for so long, and the other instances
// are told again after each failure, since notices lapse.
func (r *Reporter) report(ctx context.Context, crash record.PoisonCrash) {
	if len(crash.Digests) == 0 || r.tryReport(ctx, crash) {
		return
	}
	go func() {
		pauses := reportPauses()
		for ctx.Err() == nil {
			sleep(ctx, pauses.NextBackOff())
			if r.tryReport(ctx, crash) {
				return
			}
		}
	}()
}

func (r *Reporter) tryReport(ctx context.Context, crash record.PoisonCrash) bool {
	r.known.ApplyNotice(CrashNotice{PoisonCrash: crash})
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

func (r *Reporter) readBoot(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	return r.boots.BootID(ctx)
}

func (r *Reporter) setBoot(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bootID = id
}

// reportPauses has no jitter: crashes of different upstreams are not in step.
func reportPauses() *backoff.ExponentialBackOff {
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
