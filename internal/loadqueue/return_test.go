package loadqueue

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/place"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// switched is a view of two entry instances in data centres of their own, one
// of which may be out.
type switched struct {
	lagged
	out atomic.Bool
}

func (s *switched) MayWork() bool { return !s.out.Load() }

// set takes the data centre of the entry instance self out or in, as the
// instance itself sees it.
func (s *switched) set(self, id string, state config.DataCentreState) {
	v := entryView("e1", "e2")
	for _, e := range []string{"e1", "e2"} {
		m, _ := v.Members.Get(e)
		m.DataCentre = "dc-" + e
		v.Members = v.Members.With(e, m)
		v.DataCentres = v.DataCentres.With(m.DataCentre, config.DataCentre{})
	}
	v.DataCentres = v.DataCentres.With("dc-"+id, config.DataCentre{State: state})
	s.view.Store(v)
	s.out.Store(self == id && state == config.DataCentreOut)
}

// TestOwnerReturns guards the limit of loads at once when the data centre of
// the owner leaves and returns (F13): the returned owner must count the slots
// of the other one as in use, and the other one must have waited since it
// became the owner, not since the first load after that, which would add the
// whole wait to a cold start.
func TestOwnerReturns(t *testing.T) {
	for _, owner := range []bool{true, false} {
		name := map[bool]string{true: "owner that returns", false: "owner meanwhile"}[owner]
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &switched{}
				s.set("", "e1", config.DataCentreIn)
				first, _ := place.First(s.View(), Duty)
				self := first.Instance
				if !owner {
					self = map[string]string{"e1": "e2", "e2": "e1"}[self]
				}
				o := NewOwner(record.InstanceRef{Instance: self, Incarnation: self}, s)
				granted := func() bool {
					a, err := o.Slot(t.Context(), SlotRequest{ID: "load", Class: Store})
					return err == nil && a.Granted
				}
				o.Observe()
				time.Sleep(time.Minute)
				is.Equal(granted(), owner)
				is.NoErr(o.Done(DoneRequest{ID: "load"}))

				s.set(self, first.Instance, config.DataCentreOut)
				o.Observe()
				time.Sleep(viewBound + storeTTL)
				is.Equal(granted(), !owner) // the other one has waited long enough

				s.set(self, first.Instance, config.DataCentreIn)
				o.Observe()
				is.True(!granted()) // the other one's slots may be in use
				time.Sleep(viewBound + storeTTL)
				is.Equal(granted(), owner)
			})
		})
	}
}

// TestOwnerCutOff guards the same limit when the owner was cut off the log (F6)
// and folds the leave and the return of its data centre in one step: another
// instance may have owned the queue meanwhile. A change of members that an
// owner with a young view folds costs no wait.
func TestOwnerCutOff(t *testing.T) {
	for _, cut := range []time.Duration{time.Second, 20 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &switched{}
				s.set("", "e1", config.DataCentreIn)
				first, _ := place.First(s.View(), Duty)
				o := NewOwner(first.Ref(), s)
				o.Observe()
				time.Sleep(time.Minute)
				o.Observe()
				s.out.Store(cut > viewBound)
				time.Sleep(cut)
				o.Observe()                          // agents may ask while the view is too old
				s.set("", "e1", config.DataCentreIn) // the same decisions in new tables
				o.Observe()
				granted := func() bool {
					a, err := o.Slot(t.Context(), SlotRequest{ID: "load", Class: Store})
					is.NoErr(err)
					return a.Granted
				}
				is.Equal(granted(), cut <= viewBound)
				time.Sleep(viewBound + storeTTL)
				is.True(granted())
			})
		})
	}
}
