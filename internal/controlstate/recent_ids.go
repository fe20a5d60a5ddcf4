package controlstate

import "github.com/jacinthbend/jacinthbend/internal/cowmap"

// recentIDGeneration is the number of record ids in a full generation. Between
// one and two generations are kept. An append is retried within seconds, and at
// most 100 records per second arrive, so one generation covers 40 s.
const recentIDGeneration = 4096

// recentIDs holds the ids of the newest records, for deduplication. It consists
// of two generations: when the young one is full, it replaces the old one, and a new
// young one is started. Adding an id thus copies one shard and never the whole set.
type recentIDs struct {
	young *cowmap.Table[struct{}]
	old   *cowmap.Table[struct{}]
}

func newRecentIDs() recentIDs {
	return recentIDs{young: cowmap.New[struct{}](), old: cowmap.New[struct{}]()}
}

func (r recentIDs) contains(id string) bool {
	if _, ok := r.young.Get(id); ok {
		return true
	}
	_, ok := r.old.Get(id)
	return ok
}

// with returns a copy with id added.
func (r recentIDs) with(id string) recentIDs {
	if r.young.Len() >= recentIDGeneration {
		r = recentIDs{young: cowmap.New[struct{}](), old: r.young}
	}
	return recentIDs{young: r.young.With(id, struct{}{}), old: r.old}
}

// Seen reports whether a record with this id is among those applied recently.
func (v *View) Seen(id string) bool { return v.recent.contains(id) }
