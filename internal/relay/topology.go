package relay

import (
	"slices"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
)

// topology caches the relay trees of all data centres for the current members.
type topology struct {
	view    func() *controlstate.View
	mu      sync.Mutex
	members *cowmap.Table[controlstate.Member]
	trees   map[string]*Tree
	dcNames []string
}

func newTopology(view func() *controlstate.View) *topology { return &topology{view: view} }

// refresh rebuilds the trees if the members have changed. Member tables are
// immutable, so an equal pointer means equal members.
func (t *topology) refresh() {
	members := t.view().Members
	if members == t.members {
		return
	}
	byDataCentre := make(map[string][]controlstate.Member)
	for _, m := range members.All() {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	t.members = members
	t.trees = make(map[string]*Tree, len(byDataCentre))
	t.dcNames = t.dcNames[:0:0]
	for dc, list := range byDataCentre {
		t.trees[dc] = buildTree(list)
		t.dcNames = append(t.dcNames, dc)
	}
	slices.Sort(t.dcNames)
}

func (t *topology) tree(dataCentre string) *Tree {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if tree, ok := t.trees[dataCentre]; ok {
		return tree
	}
	return buildTree(nil)
}

// dataCentres returns the names of the data centres that have members, sorted.
func (t *topology) dataCentres() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.dcNames
}

// readers returns the readers of every data centre, starting with firstDC.
func (t *topology) readers(firstDC string) []controlstate.Member {
	all := slices.Clone(t.tree(firstDC).Readers())
	for _, dc := range t.dataCentres() {
		if dc != firstDC {
			all = append(all, t.tree(dc).Readers()...)
		}
	}
	return all
}
