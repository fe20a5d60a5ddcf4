package relay

import (
	"slices"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/cow"
	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// topology caches the orders of all data centres for one set of members.
type topology struct {
	view    func() *fold.View
	mu      sync.Mutex
	members *cow.Table[fold.Member]
	orders  map[string]*Tree
	centres []string
}

func newTopology(view func() *fold.View) *topology { return &topology{view: view} }

// refresh rebuilds the orders when the members have changed. Tables never
// change, so an equal pointer means equal members.
func (t *topology) refresh() {
	members := t.view().Members
	if members == t.members {
		return
	}
	byCentre := make(map[string][]fold.Member)
	for _, m := range members.All() {
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
	}
	t.members = members
	t.orders = make(map[string]*Tree, len(byCentre))
	t.centres = t.centres[:0:0]
	for dc, list := range byCentre {
		t.orders[dc] = orderOf(list)
		t.centres = append(t.centres, dc)
	}
	slices.Sort(t.centres)
}

func (t *topology) order(dataCentre string) *Tree {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if o, ok := t.orders[dataCentre]; ok {
		return o
	}
	return orderOf(nil)
}

// dataCentres returns the data centres that have live members, sorted.
func (t *topology) dataCentres() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.centres
}

// readers returns the readers of every data centre, those of first in front.
func (t *topology) readers(first string) []fold.Member {
	all := slices.Clone(t.order(first).Readers())
	for _, dc := range t.dataCentres() {
		if dc != first {
			all = append(all, t.order(dc).Readers()...)
		}
	}
	return all
}
