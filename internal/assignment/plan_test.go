package assignment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// fleet is a view to which the test appends records.
type fleet struct {
	*is.I
	view *controlstate.View
	// maxTaken is the largest number of model homes that one plan took away.
	maxTaken int
	// moved is the number of model homes that all plans took away.
	moved int
}

func (f *fleet) append(body record.Body) {
	e, err := record.New("test", 0, body)
	f.NoErr(err)
	v, verdict := f.view.Apply(f.view.Offset+1, e)
	f.Equal(verdict.Reason, "") // no entry is rejected
	f.view = v
}

func (f *fleet) join(i, dcs int) {
	dc := fmt.Sprint("dc", i%dcs)
	f.append(record.MemberJoin{Instance: fmt.Sprint("up", i), Incarnation: fmt.Sprint("i", i), Role: record.RoleAgent, Pool: "gpu", DataCentre: dc})
	f.setDC(dc, config.DataCentreIn)
}

func (f *fleet) setDC(dc string, s config.DataCentreState) {
	v := *f.view
	v.DataCentres = v.DataCentres.With(dc, config.DataCentre{State: s})
	f.view = &v
}

// newFleet returns a fleet with models of 10 to 60 MiB with 1 to 4 replicas and
// twice as many adapters.
func newFleet(t testing.TB, seed uint64, upstreams, models, dcs int) *fleet {
	f := &fleet{I: is.New(t), view: controlstate.Empty()}
	rng := rand.New(rand.NewPCG(seed, 2))
	v := *f.view
	m, a := map[string]config.Model{}, map[string]config.Adapter{}
	for i := range models {
		m[fmt.Sprint("m", i)] = config.Model{Pool: "gpu", MemoryMiB: int64(10 + rng.IntN(51)), MaxReplicas: 1 + rng.IntN(4)}
	}
	for i := range 2 * models {
		a[fmt.Sprint("x", i)] = config.Adapter{Model: fmt.Sprint("m", rng.IntN(models)), MemoryMiB: 1, MaxReplicas: 1 + rng.IntN(2)}
	}
	for id, c := range m {
		v.Models = v.Models.With(id, c)
	}
	for id, c := range a {
		v.Adapters = v.Adapters.With(id, c)
	}
	f.view = &v
	for i := range upstreams {
		f.join(i, dcs)
	}
	return f
}

// planUntilStable plans until there is nothing left to change and returns the
// number of rounds. Agents release former homes immediately. Each step is
// checked against H1.
func (f *fleet) planUntilStable() int {
	for round := range 1000 {
		entries := Plan(f.view, Options{MaxMoves: 8})
		if len(entries) == 0 {
			return round
		}
		f.countTaken(entries)
		f.append(record.PlaceHomes{Entries: entries})
		for cp, h := range f.view.Homes.All() {
			f.True(len(h.Active)+len(h.Releasing) <= f.view.MaxReplicas(cp)) // H1
		}
		for cp, h := range f.view.Homes.All() {
			for _, ref := range h.Releasing {
				f.append(record.PlaceReleased{AsOf: f.view.Offset, Home: ref, Checkpoints: []string{cp}})
			}
		}
	}
	f.Fail() // the plan does not converge
	return 0
}

func (f *fleet) countTaken(entries []record.HomeAssignment) {
	taken := 0
	for _, e := range entries {
		old, _ := f.view.Homes.Get(e.Checkpoint)
		for _, ref := range old.Active {
			if !strings.Contains(e.Checkpoint, ":") && !slices.Contains(e.Homes, ref) {
				taken++
			}
		}
	}
	f.maxTaken = max(f.maxTaken, taken)
	f.moved += taken
}

// checkHomes checks the homes after the plan has converged: enough of them, none
// in a data centre that is out, spread over data centres, and adapters only on
// homes of their base models.
func (f *fleet) checkHomes(upstreams, dcs int, out string) {
	for id, m := range f.view.Models.All() {
		h, _ := f.view.Homes.Get(id)
		f.Equal(len(h.Active), min(m.MaxReplicas, upstreams)) // number of homes of a model
		seen := map[string]bool{}
		for _, ref := range h.Active {
			member, _ := f.view.Members.Get(ref.Instance)
			f.True(member.DataCentre != out) // no home in a data centre that is out
			seen[member.DataCentre] = true
		}
		f.True(len(seen) >= min(m.MaxReplicas, dcs, 2)) // spread over at least two data centres
	}
	for id, a := range f.view.Adapters.All() {
		h, _ := f.view.Homes.Get(a.Model + ":" + id)
		base, _ := f.view.Homes.Get(a.Model)
		f.True(len(h.Active) > 0)
		for _, ref := range h.Active {
			f.True(base.HasActive(ref)) // adapter is on a home of its base model
		}
	}
}

// TestPlan checks H1, H9 and H13 in the planner: it never exceeds the maximum of
// replicas, moves homes out of a data centre that is out in bounded steps,
// converges, and causes few moves when members change.
func TestPlan(t *testing.T) {
	for _, size := range []struct{ upstreams, models, dcs int }{{9, 30, 3}, {18, 40, 4}, {120, 60, 5}} {
		for seed := range uint64(20) {
			f := newFleet(t, seed, size.upstreams, size.models, size.dcs)
			f.planUntilStable()
			f.checkHomes(size.upstreams, size.dcs, "")
			f.Equal(f.moved, 0) // initial placement moves nothing
			f.setDC("dc0", config.DataCentreOut)
			homesBefore := countHomesIn(f.view, "dc0")
			f.planUntilStable()
			remaining := size.upstreams - (size.upstreams+size.dcs-1)/size.dcs
			f.checkHomes(remaining, size.dcs-1, "dc0")
			f.True(f.moved <= 2*homesBefore) // homes moved because a data centre left
			f.setDC("dc0", config.DataCentreIn)
			f.planUntilStable()
			f.checkHomes(size.upstreams, size.dcs, "")
			before := f.moved
			f.append(record.MemberGone{Instance: "up1", Incarnation: "i1", Reason: record.GoneRemoved})
			f.planUntilStable()
			f.True(f.moved-before <= size.models/4) // homes moved because one upstream left
			f.True(f.maxTaken <= 8)                 // homes taken away by one plan
		}
	}
}

func countHomesIn(v *controlstate.View, dc string) (n int) {
	for cp, h := range v.Homes.All() {
		for _, ref := range h.Active {
			m, _ := v.Members.Get(ref.Instance)
			if m.DataCentre == dc && !strings.Contains(cp, ":") {
				n++
			}
		}
	}
	return n
}

// TestConfigurationChanges guards against homes that remain after their model
// has been deleted, and against homes that remain above a lowered maximum of
// replicas.
func TestConfigurationChanges(t *testing.T) {
	f := newFleet(t, 1, 9, 30, 3)
	f.planUntilStable()
	v := *f.view
	for id := range f.view.Models.All() {
		m, _ := v.Models.Get(id)
		m.MaxReplicas = 1
		v.Models = v.Models.With(id, m)
	}
	v.Models = v.Models.Without("m3")
	f.view = &v
	f.append(record.PlaceHomes{Entries: Plan(f.view, Options{})})
	for id := range f.view.Models.All() {
		h, _ := f.view.Homes.Get(id)
		f.True(len(h.Active) <= 1)
	}
	deleted, _ := f.view.Homes.Get("m3")
	f.Equal(len(deleted.Active), 0)
}

// lagLog is a control stream that all planners share. It applies records
// immediately, but planners see a view that is lag old.
type lagLog struct {
	*fleet
	appends int
	lag     time.Duration
	views   []*controlstate.View
}

func (s *lagLog) View() *controlstate.View {
	return s.views[max(0, len(s.views)-1-int(s.lag/planInterval))]
}
func (s *lagLog) MayWork() bool { return true }
func (s *lagLog) Append(_ context.Context, body record.Body) error {
	e, _ := record.New("test", 0, body)
	s.view, _ = s.view.Apply(s.view.Offset+1, e)
	s.appends++
	return nil
}

// TestPlannerWaitsForItsRecord guards against appending the same plan again
// while the view lags behind the log, and against two instances planning at
// the same time.
func TestPlannerWaitsForItsRecord(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := &lagLog{fleet: newFleet(t, 1, 9, 30, 3), lag: lag}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for _, id := range []string{"e1", "e2"} {
				s.append(record.MemberJoin{Instance: id, Incarnation: id, Role: record.RoleEntry})
			}
			planners := []*Planner{}
			for _, id := range []string{"e1", "e2"} {
				planners = append(planners, &Planner{Self: record.InstanceRef{Instance: id, Incarnation: id}, Views: s, Log: s, Logger: zap.NewNop()})
			}
			for range 20 {
				s.views = append(s.views, s.view)
				for _, p := range planners {
					p.round(ctx)
				}
				time.Sleep(planInterval)
			}
			s.checkHomes(9, 3, "")
			s.Equal(s.appends, 1) // one record holds the whole plan
		})
	}
}

// BenchmarkPlan measures the initial placement of an empty fleet and a plan that
// finds nothing to change.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ upstreams, checkpoints int }{{100, 200}, {1000, 2000}, {5600, 13190}} {
		models := min(190, size.checkpoints/4)
		empty := newFleet(b, 1, size.upstreams, models, 5)
		v := *empty.view
		for i := range size.checkpoints - 3*models {
			v.Adapters = v.Adapters.With(fmt.Sprint("y", i), config.Adapter{Model: fmt.Sprint("m", i%models), MemoryMiB: 1})
		}
		empty.view = &v
		settled := v
		e, err := record.New("test", 0, record.PlaceHomes{Entries: Plan(&v, Options{})})
		if err != nil {
			b.Fatal(err)
		}
		next, _ := settled.Apply(settled.Offset+1, e)
		for name, view := range map[string]*controlstate.View{"first": &v, "rest": next} {
			b.Run(fmt.Sprintf("%s/upstreams=%d/checkpoints=%d", name, size.upstreams, size.checkpoints), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Plan(view, Options{})
				}
			})
		}
	}
}
