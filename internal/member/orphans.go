package member

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// orphans tracks instances that are no members any more but still count as
// holding checkpoints. Their homes stay bound until they join again or are
// known to be removed.
type orphans struct {
	self    *relay.Self
	listing *listing
	since   map[string]time.Time
}

func newOrphans(self *relay.Self, l *listing) *orphans {
	return &orphans{self: self, listing: l, since: make(map[string]time.Time)}
}

func (o *orphans) forget() { clear(o.since) }

// present updates the set and reports whether it holds any. Only position 0
// of a data centre tracks orphans.
func (o *orphans) present(v *fold.View, own *relay.Order) bool {
	p, live := own.Position(o.self.Instance, o.self.Incarnation())
	if !live || p != 0 {
		o.forget()
		return false
	}
	found := make(map[string]time.Time)
	for instance, checkpoints := range v.CheckpointsByInstance.All() {
		if _, member := v.Members.Get(instance); member || len(checkpoints) == 0 {
			continue
		}
		since, known := o.since[instance]
		if !known {
			since = time.Now()
		}
		found[instance] = since
	}
	o.since = found
	return len(found) > 0
}

// due returns the records that release orphans which the list has lacked for
// SilentListed. A listing in between restarts the time.
func (o *orphans) due() []record.MemberGone {
	var gone []record.MemberGone
	for instance, since := range o.since {
		if o.listing.of(instance) != unlisted {
			o.since[instance] = time.Now()
			continue
		}
		if time.Since(since) >= SilentListed {
			o.since[instance] = time.Now()
			gone = append(gone, record.MemberGone{Instance: instance, Reason: record.GoneRemoved})
		}
	}
	return gone
}
