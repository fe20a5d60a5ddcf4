package admit

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

const viewBound = 3 * time.Second

// follower applies the control stream for one agent and tracks the view's age.
type follower struct {
	views
	// completeAt is when the last successful read was sent.
	completeAt time.Time
	cutOff     bool
}

// poll reads the log once and marks the view as stale if it is older than viewBound.
func (f *follower) poll(ctx context.Context, log *standin.Log) {
	sent := time.Now()
	page, err := log.Read(ctx, record.ControlStream, f.View().Offset, 100, 0)
	if err == nil && !f.cutOff {
		view := f.View()
		for _, r := range page.Records {
			view, _, _ = view.ApplyRecord(r)
		}
		f.view.Store(view)
		f.completeAt = sent
	}
	f.stale.Store(time.Since(f.completeAt) > viewBound)
}

// lastAdmission returns how long after the decision the agent last admits a
// request. The reader is cut off or the log becomes slow one second before the
// decision; a pause starts one second after it; after a lost answer the decision
// is appended a second time.
func lastAdmission(t *testing.T, decision record.Body, fault string, skipViewChecks bool) (last time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := standin.NewLog()
		l, v := newLimiter()
		f := &follower{completeAt: time.Now()}
		f.view.Store(v.View())
		l.views, l.skipViewChecks = f, skipViewChecks
		var decided time.Time
		for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
			switch now {
			case 4 * time.Second:
				f.cutOff = fault == "reader cut off"
				if fault == "log slow" {
					log.SetFaults(standin.LogFaults{Delay: 2 * time.Second})
				}
			case 5 * time.Second:
				e, _ := record.New("operator", 0, decision)
				data, _ := e.Encode()
				_, _ = log.Append(ctx, record.ControlStream, []json.RawMessage{data})
				// A slow log also delays the append of the decision.
				decided = time.Now()
				if fault == "answer lost" {
					_, _ = log.Append(ctx, record.ControlStream, []json.RawMessage{data})
				}
			}
			f.poll(ctx, log)
			if fault == "paused" && now == 6*time.Second {
				time.Sleep(10 * time.Second)
				// The real limiter reads the view's age at each admission, so the
				// first admission after a pause already sees the new age.
				f.stale.Store(time.Since(f.completeAt) > viewBound)
			}
			if ticket, err := l.Admit(); err == nil {
				if !decided.IsZero() {
					last = time.Since(decided)
				}
				l.Done(ticket, Completed)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	return last
}

// TestStopsWithinViewBound checks H9 and H13 at the agent: it admits nothing
// later than ViewBound after a decision, even if a fault hides the decision from it.
func TestStopsWithinViewBound(t *testing.T) {
	is := is.New(t)
	out, _ := json.Marshal(config.DataCentre{State: config.DataCentreOut})
	decisions := map[string]record.Body{
		"data centre out": record.ConfigChange{Changes: []record.EntryChange{{Section: record.SectionDataCentres, ID: "dc", Value: out}}},
		"gone":            record.MemberGone{Instance: "a", Incarnation: "1", Reason: record.GoneDrained},
	}
	broken, cases := map[bool]int{}, 0
	for name, d := range decisions {
		for _, fault := range []string{"none", "reader cut off", "log slow", "answer lost", "paused"} {
			cases++
			for _, skipViewChecks := range []bool{false, true} {
				if last := lastAdmission(t, d, fault, skipViewChecks); last > viewBound {
					broken[skipViewChecks]++
					t.Log(name, fault, skipViewChecks, last)
				}
			}
		}
	}
	t.Logf("cases that admitted requests after ViewBound: %d of %d, without the checks %d of %d", broken[false], cases, broken[true], cases)
	is.Equal(broken[false], 0)
	is.Equal(broken[true], cases) // negative control
}
