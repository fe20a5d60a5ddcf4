package loadqueue

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/assignment"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// ViewChanged must be called whenever the view changes. It starts the takeover
// wait as soon as the instance becomes the owner; otherwise the first load would
// start it and be delayed by all of it.
func (o *Owner) ViewChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.checkOwner()
}

// checkOwner returns an error if the instance does not own the queue now or its
// view is too old. It records the time of a takeover.
func (o *Owner) checkOwner() error {
	mayWork := o.views.MayWork()
	// Ownership is checked before mayWork: if the data centre of an owner is out,
	// mayWork is false too, but the owner must also reset, so that it does not
	// resume its earlier ownership when the data centre returns.
	v := o.views.View()
	if mayWork {
		o.restartWaitAfterGap(v)
	}
	leader, ok := assignment.Leader(v, LeaderTask)
	if !ok || leader.Ref() != o.self {
		o.ownedSince = time.Time{}
		o.reset()
		return errkind.New(errkind.NotHome, o.self.Instance+" does not own the load queue")
	}
	if !mayWork {
		return errkind.New(errkind.ViewStale, "load-queue owner "+o.self.Instance+" has an outdated view")
	}
	if o.ownedSince.IsZero() {
		o.ownedSince = time.Now()
	}
	return nil
}

// restartWaitAfterGap restarts the takeover wait if another instance may have
// owned the queue without this one noticing. It assumes so if the last view that
// was recent enough to work on was read more than viewBound ago, and members or
// data centres have changed since. In a shorter gap no other owner can complete its
// own takeover wait.
func (o *Owner) restartWaitAfterGap(v *controlstate.View) {
	now := time.Now()
	lastView := o.lastView
	if lastView != nil && now.Sub(o.lastViewAt) > viewBound && (lastView.Members != v.Members || lastView.DataCentres != v.DataCentres) {
		o.ownedSince = time.Time{}
	}
	o.lastView, o.lastViewAt = v, now
}
