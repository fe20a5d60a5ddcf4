package node

import (
	"context"
	"sync/atomic"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// incarnationScoped holds the state that lives as long as one incarnation of
// the instance. It rebuilds the state each time the instance has joined the
// fleet under a new incarnation.
type incarnationScoped[T any] struct {
	current atomic.Pointer[T]
	// build returns the state of the incarnation m. ctx ends with that
	// incarnation.
	build func(ctx context.Context, m controlstate.Member) (*T, error)
	// observe is called with each new view; it may be nil.
	observe func(t *T, v *controlstate.View)
}

// run rebuilds the state and calls observe as the view changes, until ctx ends.
// It passes an error of build to report and returns.
func (i *incarnationScoped[T]) run(ctx context.Context, f *fleet, report func(error)) {
	var built string
	incarnationScope := newScope(ctx)
	defer incarnationScope.end()
	for ctx.Err() == nil {
		changed := f.Changed()
		v := f.View()
		m, ok := v.Members.Get(f.self.Instance)
		if ok && m.Incarnation == f.self.Incarnation() && m.Incarnation != built {
			t, err := i.build(incarnationScope.renew(), m)
			if err != nil {
				report(err)
				return
			}
			built = m.Incarnation
			i.current.Store(t)
		}
		if t := i.current.Load(); t != nil && i.observe != nil {
			i.observe(t, v)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// scope holds the cancellable context of the current incarnation.
type scope struct {
	parent context.Context
	cancel context.CancelFunc
}

func newScope(parent context.Context) *scope { return &scope{parent: parent, cancel: func() {}} }

// renew cancels the context of the previous incarnation and returns a new one.
func (s *scope) renew() context.Context {
	s.cancel()
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(s.parent)
	return ctx
}

func (s *scope) end() { s.cancel() }
