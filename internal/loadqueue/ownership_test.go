package loadqueue

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/assignment"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// twoDCView is a view of two entry instances, each in its own data centre, one of
// which may be out.
type twoDCView struct {
	storedView
	// out makes MayWork false.
	out atomic.Bool
}

func (s *twoDCView) MayWork() bool { return !s.out.Load() }

// set sets the state of the data centre of instance id; the other one is in. The
// view belongs to the instance self, which may not work while its own data
// centre is out.
func (s *twoDCView) set(self, id string, state config.DataCentreState) {
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

// TestOwnerReturns checks the limit of concurrent loads when the data centre of
// the owner goes out and returns (F13). The returned owner must wait until the
// leases of the interim owner have expired. The interim owner's takeover wait
// must start when it becomes the owner and not with the first load after that,
// which would add the whole wait to a cold start.
func TestOwnerReturns(t *testing.T) {
	for _, owner := range []bool{true, false} {
		name := map[bool]string{true: "returned owner", false: "interim owner"}[owner]
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &twoDCView{}
				s.set("", "e1", config.DataCentreIn)
				leader, _ := assignment.Leader(s.View(), LeaderTask)
				self := leader.Instance
				if !owner {
					self = map[string]string{"e1": "e2", "e2": "e1"}[self]
				}
				o := NewOwner(record.InstanceRef{Instance: self, Incarnation: self}, s)
				granted := func() bool {
					a, err := o.Acquire(t.Context(), SlotRequest{ID: "load", Class: Store})
					return err == nil && a.Granted
				}
				o.ViewChanged()
				time.Sleep(time.Minute)
				is.Equal(granted(), owner)
				is.NoErr(o.Release(ReleaseRequest{ID: "load"}))

				s.set(self, leader.Instance, config.DataCentreOut)
				o.ViewChanged()
				time.Sleep(viewBound + storeTTL)
				is.Equal(granted(), !owner) // the interim owner has waited long enough

				s.set(self, leader.Instance, config.DataCentreIn)
				o.ViewChanged()
				is.True(!granted()) // slots of the interim owner may be in use
				time.Sleep(viewBound + storeTTL)
				is.Equal(granted(), owner)
			})
		})
	}
}

// TestOwnerCutOff checks the same limit when the owner was cut off from the log
// (F6) and applies the leave and the return of its data centre in one step:
// another instance may have owned the queue in between. If the view has stayed
// recent, a change of members must not restart the wait.
func TestOwnerCutOff(t *testing.T) {
	for _, cutOff := range []time.Duration{time.Second, 20 * time.Second} {
		t.Run(cutOff.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &twoDCView{}
				s.set("", "e1", config.DataCentreIn)
				leader, _ := assignment.Leader(s.View(), LeaderTask)
				o := NewOwner(leader.Ref(), s)
				o.ViewChanged()
				time.Sleep(time.Minute)
				o.ViewChanged()
				s.out.Store(cutOff > viewBound)
				time.Sleep(cutOff)
				o.ViewChanged()                      // agents may ask while the view is too old
				s.set("", "e1", config.DataCentreIn) // the same decisions in new tables
				o.ViewChanged()
				granted := func() bool {
					a, err := o.Acquire(t.Context(), SlotRequest{ID: "load", Class: Store})
					is.NoErr(err)
					return a.Granted
				}
				is.Equal(granted(), cutOff <= viewBound)
				time.Sleep(viewBound + storeTTL)
				is.True(granted())
			})
		})
	}
}
