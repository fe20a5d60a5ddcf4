package place

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

const (
	// duty names the planner in the hash order of entry instances.
	duty = "place"
	// roundEvery is the least time between two plans. With MaxMoves it bounds
	// the rate at which homes move.
	roundEvery = time.Second
	// batchEntries keeps a record at about 30 kB.
	batchEntries = 200
	// foldWait is how long a planner waits to see its record before it plans again.
	foldWait = 3 * time.Second
)

// Views gives the folded view and tells whether it is young enough to decide on.
type Views interface {
	View() *fold.View
	MayWork() bool
}

// Appender appends a record to the control stream. After an error the record
// may still have been appended; its bases make a repetition void.
type Appender interface {
	Append(ctx context.Context, body record.Body) error
}

// Planner runs at every entry instance and plans at the first one.
type Planner struct {
	Self    record.InstanceRef
	Views   Views
	Log     Appender
	Options Options
	Logger  *zap.Logger

	last   record.HomeAssignment
	lastAt time.Time
	// rest is the view for which there was nothing to do.
	rest *fold.View
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Planner) round(ctx context.Context) {
	v := p.Views.View()
	first, ok := First(v, duty)
	if !ok || first.Ref() != p.Self || !p.Views.MayWork() || p.pending(v) {
		return
	}
	if p.rest != nil && samePlan(p.rest, v) {
		return
	}
	entries := Plan(v, p.Options)
	p.rest = nil
	if len(entries) == 0 {
		p.rest = v
	}
	for batch := range slices.Chunk(entries, batchEntries) {
		if err := p.Log.Append(ctx, record.PlaceHomes{Entries: batch}); err != nil {
			p.Logger.Warn("homes are not known to be recorded", zap.Error(err))
			return
		}
		p.last, p.lastAt = batch[len(batch)-1], time.Now()
	}
}

// pending reports whether the last record may still be on its way to the view.
func (p *Planner) pending(v *fold.View) bool {
	if p.lastAt.IsZero() || time.Since(p.lastAt) > foldWait {
		return false
	}
	h, _ := v.Homes.Get(p.last.Checkpoint)
	return h.Offset <= p.last.Base
}

// samePlan reports whether all that a plan depends on is the same in both
// views. A plan takes 33 ms at 5,600 upstreams and 13,190 checkpoints, which
// would be 3.3% of a core if it were made in each round.
func samePlan(x, y *fold.View) bool {
	return x.Members == y.Members && x.Homes == y.Homes && x.Models == y.Models &&
		x.Adapters == y.Adapters && x.DataCentres == y.DataCentres
}
