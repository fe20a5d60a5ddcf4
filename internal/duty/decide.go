package duty

import (
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/usage"
)

// Times after the end of a window at which candidates act.
const (
	// overdueAfter is when the report of a window should be in the log. The holder collects from
	// usage.CollectAfter on, which takes milliseconds if all instances answer.
	overdueAfter = 3 * time.Second
	// pendingOverdueAfter is the same if the holder still waits for the counts of an instance, up to
	// usage.CollectUntil, and then asks witnesses.
	pendingOverdueAfter = usage.CollectUntil + time.Second
	// rankDelay is the time between the claims of two candidates: several calls to a slow log.
	rankDelay = 700 * time.Millisecond
	// claimPatience is what a new holder has in addition to its lease before it counts as lost.
	claimPatience = 1500 * time.Millisecond
)

// maxBacklog is how many windows back a report is still made. A report later than that would be
// worth nothing, and fewer than reportSlots are needed to tell them apart.
const maxBacklog = 12

// Decide returns what an instance does next.
func Decide(s *Situation) Step {
	if s.Ledger.heldBy(s.Self, s.Start) && s.StoreEra <= s.Ledger.Next.Era {
		return s.holderStep()
	}
	if s.Boot < s.LogFrom || len(s.Ranked) == 0 {
		return Step{}
	}
	return s.candidateStep()
}

// holderStep returns the next step of the instance that has the duty.
func (s *Situation) holderStep() Step {
	logFree := s.Boot >= s.LogFrom
	next := s.nextWindow()
	if s.Collected == next && logFree {
		return Step{Record, next}
	}
	if len(s.Outbox)+s.UnsentOrders > 0 && s.Boot >= s.ActFrom && s.Boot >= s.CallFrom {
		fresh := s.Boot-s.VerifiedAt < s.Bounds.maxVerifiedAge()
		switch {
		case fresh && len(s.Outbox) > 0:
			return Step{Send, s.mostUrgent()}
		case fresh:
			return Step{Kind: SendOrder}
		case logFree:
			return Step{Kind: ReadLog}
		}
	}
	if s.NewOrders > 0 && logFree {
		return Step{Kind: RecordOrder}
	}
	if s.Collecting == 0 && s.Collected != next && !s.Now.Before(s.Windows.End(next).Add(usage.CollectAfter)) {
		return Step{Collect, next}
	}
	return Step{}
}

// nextWindow returns the next window that the holder reports.
func (s *Situation) nextWindow() int64 {
	return max(s.Ledger.Last+1, s.Ledger.Claim.From, s.Windows.At(s.Now)-maxBacklog)
}

// mostUrgent returns the oldest report that can still be on time, or else the oldest.
func (s *Situation) mostUrgent() int64 {
	sorted := slices.Sorted(slices.Values(s.Outbox))
	for _, window := range sorted {
		if s.Now.Before(s.Windows.End(window).Add(s.Bounds.Late)) {
			return window
		}
	}
	return sorted[0]
}

// candidateStep returns the next step of an instance that does not have the duty.
func (s *Situation) candidateStep() Step {
	l := s.Ledger
	rank := s.rank()
	if !l.Known || s.StoreEra > l.Next.Era {
		// The instance that had the duty claims it again, and so does one that was restarted. The
		// others do not read the log until a report is overdue.
		restarted := !l.Known && !s.FirstStart
		if s.WasHolder || rank == 0 || restarted || !s.Now.Before(s.overdue(rank)) {
			return Step{Kind: ReadLog}
		}
		return Step{}
	}
	earlierStart := l.claimed() && l.Claim.Holder == s.Self
	unclaimed := !l.claimed() && (s.WasHolder || rank == 0)
	gone := l.claimed() && rank == 0 && !slices.Contains(s.Ranked, l.Claim.Holder)
	silent := l.claimed() && s.Silent == l.Claim.Token
	if earlierStart || unclaimed || gone || silent {
		return Step{ClaimDuty, s.claimFrom()}
	}
	if s.perhapsNotSent(rank) {
		return Step{Kind: Ping}
	}
	overdue := s.overdue(rank)
	switch {
	case s.Now.Before(overdue):
		return Step{}
	case s.ReadAt.Before(overdue):
		return Step{Kind: ReadLog}
	default:
		return Step{ClaimDuty, s.claimFrom()}
	}
}

// perhapsNotSent reports whether a report is in the log that the holder may not have sent: it has not
// said so, although it did for the window before. A holder that never told this instance anything,
// because a link is cut, is not suspected each time.
func (s *Situation) perhapsNotSent(rank int) bool {
	l := s.Ledger
	known := l.claimed() && l.Claim.Token == s.Hint.Token && l.Last == s.Hint.Recorded+1
	return known && !s.Now.Before(s.Windows.End(l.Last).Add(overdueAfter+time.Duration(rank)*rankDelay))
}

// rank returns the place of this instance among the candidates, without the instance that has the
// duty.
func (s *Situation) rank() int {
	rank := 0
	for _, name := range s.Ranked {
		switch name {
		case s.Self:
			return rank
		case s.holder():
		default:
			rank++
		}
	}
	return rank
}

// holder returns the instance that has the duty as far as this one knows.
func (s *Situation) holder() string {
	if s.Hint.Token > s.Ledger.Claim.Token {
		return s.Hint.Holder
	}
	return s.Ledger.Claim.Holder
}

// overdue returns when the candidate with a rank takes the duty over, unless it learns of a report or
// a claim before.
func (s *Situation) overdue(rank int) time.Time {
	l := s.Ledger
	window := max(l.Last, s.Hint.Recorded, s.FirstWindow-1, l.Claim.From-1) + 1
	after := overdueAfter
	if s.Hint.Pending == window {
		after = pendingOverdueAfter
	}
	at := s.Windows.End(window).Add(after)
	// A holder that works off a backlog, or that has just claimed, is not lost.
	for _, t := range []time.Time{
		l.lastReportAt().Add(overdueAfter), s.Hint.RecordedAt.Add(overdueAfter),
		l.Claim.At.Add(s.Bounds.Lease + claimPatience),
	} {
		if t.After(at) {
			at = t
		}
	}
	return at.Add(time.Duration(rank) * rankDelay)
}

// claimFrom returns the first window that may be reported under a claim of this instance. What was
// reported before the log came back from a copy may be missing in it, so windows that had ended by
// then are not reported again.
func (s *Situation) claimFrom() int64 {
	l := s.Ledger
	switch {
	case l.claimed():
		return l.Claim.From
	case s.FirstStart && l.Claim.Holder == "" && l.Last == 0 && s.EraWindow <= s.FirstWindow:
		return s.FirstWindow
	case s.EraWindow > s.FirstWindow:
		return s.EraWindow
	default:
		return s.Windows.At(s.Now)
	}
}
