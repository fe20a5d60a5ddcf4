package duty

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// Ledger is what an instance has read from the log.
type Ledger struct {
	// Known tells that the log has been listed.
	Known bool
	// Next is where the log ends as far as it has been read.
	Next  topicwatch.Position
	Claim Claim
	// Last is the newest window with a report, 0 if there is none. Windows are reported in order.
	Last int64
	// Reports are the newest reports by window.
	Reports map[int64]Report
	// Orders are the newest orders by their key.
	Orders map[string]Order
	// fence returns the fencing token of a claim at a position.
	fence func(topicwatch.Position) int64
}

func newLedger(fence func(topicwatch.Position) int64) *Ledger {
	return &Ledger{fence: fence, Reports: make(map[int64]Report), Orders: make(map[string]Order)}
}

// replace applies a list of the newest record of each key.
func (l *Ledger) replace(p topicwatch.Page) {
	*l = *newLedger(l.fence)
	l.Known = true
	l.Next = topicwatch.Position{Era: p.Era}
	items := slices.SortedFunc(slices.Values(p.Items), func(a, b topicwatch.Item) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, it := range items {
		l.apply(it)
	}
	l.Next.Offset = p.Next
}

// add applies records that follow those that have been read.
func (l *Ledger) add(p topicwatch.Page) {
	for _, it := range p.Items {
		if it.Offset >= l.Next.Offset {
			l.apply(it)
		}
	}
	l.Next.Offset = max(l.Next.Offset, p.Next)
}

func (l *Ledger) apply(it topicwatch.Item) {
	var r record
	if len(it.Value) == 0 || json.Unmarshal(it.Value, &r) != nil {
		return
	}
	at := time.UnixMilli(r.AtMS)
	if it.Key == claimKey {
		l.Claim = Claim{Holder: r.Holder, Start: r.Start, Era: r.Era, From: r.From, At: at, Token: l.fence(topicwatch.Position{Era: r.Era, Offset: it.Offset})}
		return
	}
	// A record that its writer appended without knowing of the claim before it is not valid. In a
	// list, the claims before the newest one are missing.
	if l.Claim.Holder != "" && r.Token != l.Claim.Token {
		return
	}
	switch {
	case isReportKey(it.Key) && r.Window > l.Last:
		l.Last = r.Window
		l.Reports[r.Window] = Report{Window: r.Window, Counts: r.Counts, At: at}
		delete(l.Reports, r.Window-reportSlots)
	case isOrderKey(it.Key) && r.Order != nil:
		l.Orders[it.Key] = *r.Order
	}
}

// claimed reports whether an instance has the duty, as far as the log has been read.
func (l *Ledger) claimed() bool { return l.Claim.Holder != "" && l.Claim.Era == l.Next.Era }

// heldBy reports whether a run of an instance has the duty.
func (l *Ledger) heldBy(instance string, start uint64) bool {
	return l.claimed() && l.Claim.Holder == instance && l.Claim.Start == start
}

// lastReportAt returns when the newest report was written, by its writer's clock.
func (l *Ledger) lastReportAt() time.Time { return l.Reports[l.Last].At }
