package residency

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// outOfServiceView is a recent view with which the agent may not load once its data
// centre is out of service. It also records the released checkpoints.
type outOfServiceView struct {
	*fakeView
	dataCentreOut atomic.Bool
	mu            sync.Mutex
	released      []string
}

func (o *outOfServiceView) MayWork() bool { return !o.dataCentreOut.Load() && o.fakeView.MayWork() }

func (o *outOfServiceView) Append(_ context.Context, body record.Body) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r, ok := body.(record.PlaceReleased); ok {
		o.released = append(o.released, r.Checkpoints...)
	}
	return nil
}

// TestReleaseWhileOut guards against checkpoints that stay bound to a data centre
// after it was taken out of service. Its agents must load nothing, but must unload
// checkpoints that moved away and report the release; otherwise the fleet cannot
// serve them elsewhere (H1, H9).
func TestReleaseWhileOut(t *testing.T) {
	tests := []struct {
		name string
		// loadedBefore makes the agent load the checkpoint before the data centre goes
		// out of service; otherwise the agent starts while it is out.
		loadedBefore bool
	}{{"loaded before", true}, {"started while out", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				ended, end := context.WithCancel(ctx)
				end()
				_, f, e := newTestManager(ended, 2, time.Second)
				out := &outOfServiceView{fakeView: f}
				join := record.MemberJoin{Instance: "a", Incarnation: "1", Pool: "gpu"}
				a := New(Options{Self: join, Views: out, Slots: f, Records: out, Orders: e, Log: zap.NewNop()})
				if tt.loadedBefore {
					go a.Run(ctx)
					release, err := a.Acquire(ctx, "m0", "team", time.Now().Add(time.Minute))
					is.NoErr(err)
					release()
				}
				out.dataCentreOut.Store(true)
				f.update(func(v *controlstate.View) {
					self := record.InstanceRef{Instance: "a", Incarnation: "1"}
					v.Homes = v.Homes.With("m0", controlstate.Homes{Offset: 6, Releasing: []record.InstanceRef{self}})
					v.CheckpointsByInstance = v.CheckpointsByInstance.With("a", []string{"m0", "m1"})
					m1, _ := v.Models.Get("m1")
					m1.MinReplicas = 1
					v.Models = v.Models.With("m1", m1)
				})
				if !tt.loadedBefore {
					go a.Run(ctx)
				}
				time.Sleep(10 * time.Second)
				held, err := e.MemoryState(ctx)
				is.NoErr(err)
				is.Equal(len(held.Checkpoints), 0) // m0 is unloaded, m1 is not preloaded
				out.mu.Lock()
				is.True(slices.Contains(out.released, "m0"))
				out.mu.Unlock()
				cancel()
				synctest.Wait()
			})
		})
	}
}
