package member

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
)

// orphans tracks instances that are no longer members but are still homes of
// checkpoints, because they may still hold them. Such homes count against the
// maximum of replicas until the instance joins again or a `gone` record with
// the reason `removed` deletes them.
type orphans struct {
	self  *relay.Self
	list  *instanceListCache
	since map[string]time.Time
}

func newOrphans(self *relay.Self, l *instanceListCache) *orphans {
	return &orphans{self: self, list: l, since: make(map[string]time.Time)}
}

func (o *orphans) reset() { clear(o.since) }

// update recomputes the set of orphans and reports whether there are any. Only
// the member at position 0 of a data centre tracks orphans.
func (o *orphans) update(v *controlstate.View, tree *relay.Tree) bool {
	p, live := tree.Position(o.self.Instance, o.self.Incarnation())
	if !live || p != 0 {
		o.reset()
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

// expired returns a `gone` record with the reason `removed` for each orphan
// that has been missing from the platform list for ListedTimeout. The time
// restarts whenever the list is unavailable or includes the instance.
func (o *orphans) expired() []record.MemberGone {
	var gone []record.MemberGone
	for instance, since := range o.since {
		if o.list.status(instance) != unlisted {
			o.since[instance] = time.Now()
			continue
		}
		if time.Since(since) >= ListedTimeout {
			o.since[instance] = time.Now()
			gone = append(gone, record.MemberGone{Instance: instance, Reason: record.GoneRemoved})
		}
	}
	return gone
}
