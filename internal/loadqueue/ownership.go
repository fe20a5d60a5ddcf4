package loadqueue

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/place"
)

// ViewChanged notes that the view has changed. The takeover wait begins here and
// not with the first load, which would otherwise wait for all of it.
func (o *Owner) ViewChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.owns()
}

// owns checks that the instance is the owner now and notes a takeover.
func (o *Owner) owns() error {
	mayWork := o.views.MayWork()
	// Ownership comes first: an owner whose data centre is out may not work
	// either, and must not take up its old ownership when it returns.
	v := o.views.View()
	if mayWork {
		o.noteGap(v)
	}
	first, ok := place.Leader(v, LeaderTask)
	if !ok || first.Ref() != o.self {
		o.since = time.Time{}
		o.clear()
		return errkind.New(errkind.NotHome, o.self.Instance+" does not own the load queue")
	}
	if !mayWork {
		return errkind.New(errkind.ViewStale, "load-queue owner "+o.self.Instance+" has an outdated view")
	}
	if o.since.IsZero() {
		o.since = time.Now()
	}
	return nil
}

// noteGap begins the takeover wait anew if another instance may have owned the
// queue unseen: members or data centres have changed since the last young view,
// and that was read longer ago than viewBound. In less time no other owner gets through its own
// wait.
func (o *Owner) noteGap(v *fold.View) {
	now := time.Now()
	last := o.last
	if last != nil && now.Sub(o.read) > viewBound && (last.Members != v.Members || last.DataCentres != v.DataCentres) {
		o.since = time.Time{}
	}
	o.last, o.read = v, now
}
