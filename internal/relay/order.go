package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// ReadersPerDataCentre is the number of positions of a data centre that read the log.
const ReadersPerDataCentre = 3

// Fanout is the number of children of a position; 16 gives at most 3 hops for
// the 1,440 members of a data centre.
const Fanout = 16

// Tree is the order of the members of one data centre, in which position
// decides the place in the relay tree.
type Tree struct {
	members  []fold.Member
	position map[string]int
}

// NewTree returns the order of a data centre's members.
func NewTree(v *fold.View, dataCentre string) *Tree {
	var members []fold.Member
	for _, m := range v.Members.All() {
		if m.DataCentre == dataCentre {
			members = append(members, m)
		}
	}
	return orderOf(members)
}

func orderOf(members []fold.Member) *Tree {
	hashes := make(map[string]uint64, len(members))
	for _, m := range members {
		hashes[m.Instance] = memberHash(m)
	}
	slices.SortFunc(members, func(a, b fold.Member) int {
		byHash := cmp.Compare(hashes[a.Instance], hashes[b.Instance])
		return cmp.Or(byHash, cmp.Compare(a.Instance, b.Instance))
	})
	o := &Tree{members: members, position: make(map[string]int, len(members))}
	for p, m := range members {
		o.position[m.Instance] = p
	}
	return o
}

func memberHash(m fold.Member) uint64 {
	return xxhash.Sum64String(m.DataCentre + "\x00" + m.Instance + "\x00" + m.Incarnation)
}

// Len returns the number of members.
func (o *Tree) Len() int { return len(o.members) }

// At returns the member at position p.
func (o *Tree) At(p int) fold.Member { return o.members[p] }

// Position returns the position of an incarnation, and whether it is a member.
func (o *Tree) Position(instance, incarnation string) (int, bool) {
	p, ok := o.position[instance]
	if !ok || o.members[p].Incarnation != incarnation {
		return 0, false
	}
	return p, true
}

// Readers returns the members that read the log.
func (o *Tree) Readers() []fold.Member {
	return o.members[:min(ReadersPerDataCentre, len(o.members))]
}

// Parent returns the parent of position p >= Readers.
func Parent(p int) int { return (p - ReadersPerDataCentre) / Fanout }

// Sources returns the positions that a member at p may pull from, best first:
// the parent, its standby, and so on towards the readers, then every reader.
func (o *Tree) Sources(p int) []int {
	var sources []int
	add := func(q int) {
		if q != p && q < len(o.members) && !slices.Contains(sources, q) {
			sources = append(sources, q)
		}
	}
	for q := p; q >= ReadersPerDataCentre; q = Parent(q) {
		add(Parent(q))
		add(Parent(q) + 1)
	}
	for q := range ReadersPerDataCentre {
		add(q)
	}
	return sources
}

// Children returns the positions whose parent is p.
func (o *Tree) Children(p int) []int {
	var children []int
	first := ReadersPerDataCentre + p*Fanout
	for q := first; q < min(first+Fanout, len(o.members)); q++ {
		children = append(children, q)
	}
	return children
}

// Hops returns the number of pulls between position p and a reader.
func Hops(p int) int {
	hops := 0
	for ; p >= ReadersPerDataCentre; p = Parent(p) {
		hops++
	}
	return hops
}
