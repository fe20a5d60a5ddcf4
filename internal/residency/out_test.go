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

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// outOfService is an agent with a young view that may take no work once its
// data centre is out.
type outOfService struct {
	*fixed
	out      atomic.Bool
	mu       sync.Mutex
	released []string
}

func (o *outOfService) MayWork() bool { return !o.out.Load() && o.fixed.MayWork() }

func (o *outOfService) Append(_ context.Context, body record.Body) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r, ok := body.(record.PlaceReleased); ok {
		o.released = append(o.released, r.Checkpoints...)
	}
	return nil
}

// TestReleaseWhileOut guards against checkpoints that stay bound to a data
// centre which was taken out: its agents take no work, but must unload what
// moved away and report it, or the fleet cannot serve it elsewhere (H1, H9).
// They must load nothing meanwhile.
func TestReleaseWhileOut(t *testing.T) {
	tests := []struct {
		name string
		// before tells that the agent held the checkpoint before it went out;
		// otherwise it starts while the data centre is out.
		before bool
	}{{"held before", true}, {"started while out", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				ended, end := context.WithCancel(ctx)
				end()
				_, f, e := fixture(ended, 2, time.Second)
				out := &outOfService{fixed: f}
				join := record.MemberJoin{Instance: "a", Incarnation: "1", Pool: "gpu"}
				a := New(Options{Self: join, Views: out, Slots: f, Reports: out, Orders: e, Log: zap.NewNop()})
				if tt.before {
					go a.Run(ctx)
					release, err := a.Acquire(ctx, "m0", "team", time.Now().Add(time.Minute))
					is.NoErr(err)
					release()
				}
				out.out.Store(true)
				f.change(func(v *fold.View) {
					self := record.HomeRef{Instance: "a", Incarnation: "1"}
					v.Homes = v.Homes.With("m0", fold.Homes{Offset: 6, Releasing: []record.HomeRef{self}})
					v.CheckpointsAt = v.CheckpointsAt.With("a", []string{"m0", "m1"})
					m1, _ := v.Models.Get("m1")
					m1.MinReplicas = 1
					v.Models = v.Models.With("m1", m1)
				})
				if !tt.before {
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
