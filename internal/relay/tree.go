package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// ReadersPerDataCentre is the number of members of a data centre that read the
// log directly: those at the first positions of its tree.
const ReadersPerDataCentre = 3

// Fanout is the number of children per position. With 16, the 1,440 members of
// a data centre need at most 3 hops.
const Fanout = 16

// Tree is the relay tree of one data centre. The members are sorted by hash;
// the index of a member in this order is its position in the tree.
type Tree struct {
	members  []controlstate.Member
	position map[string]int
}

// NewTree returns the relay tree of a data centre.
func NewTree(v *controlstate.View, dataCentre string) *Tree {
	var members []controlstate.Member
	for _, m := range v.Members.All() {
		if m.DataCentre == dataCentre {
			members = append(members, m)
		}
	}
	return buildTree(members)
}

func buildTree(members []controlstate.Member) *Tree {
	hashes := make(map[string]uint64, len(members))
	for _, m := range members {
		hashes[m.Instance] = memberHash(m)
	}
	slices.SortFunc(members, func(a, b controlstate.Member) int {
		byHash := cmp.Compare(hashes[a.Instance], hashes[b.Instance])
		return cmp.Or(byHash, cmp.Compare(a.Instance, b.Instance))
	})
	t := &Tree{members: members, position: make(map[string]int, len(members))}
	for p, m := range members {
		t.position[m.Instance] = p
	}
	return t
}

func memberHash(m controlstate.Member) uint64 {
	return xxhash.Sum64String(m.DataCentre + "\x00" + m.Instance + "\x00" + m.Incarnation)
}

// Len returns the number of members.
func (t *Tree) Len() int { return len(t.members) }

// At returns the member at position p.
func (t *Tree) At(p int) controlstate.Member { return t.members[p] }

// Position returns the position of an instance, and false if this incarnation
// of it is not a member.
func (t *Tree) Position(instance, incarnation string) (int, bool) {
	p, ok := t.position[instance]
	if !ok || t.members[p].Incarnation != incarnation {
		return 0, false
	}
	return p, true
}

// Readers returns the members that read the log directly.
func (t *Tree) Readers() []controlstate.Member {
	return t.members[:min(ReadersPerDataCentre, len(t.members))]
}

// Parent returns the parent of position p, which must not be a reader's.
func Parent(p int) int { return (p - ReadersPerDataCentre) / Fanout }

// Sources returns the positions that the member at p may pull from, in order of
// preference: its parent and the position after it as standby, then the same
// pair for each ancestor up to the readers, then all readers.
func (t *Tree) Sources(p int) []int {
	var sources []int
	add := func(q int) {
		if q != p && q < len(t.members) && !slices.Contains(sources, q) {
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
func (t *Tree) Children(p int) []int {
	var children []int
	first := ReadersPerDataCentre + p*Fanout
	for q := first; q < min(first+Fanout, len(t.members)); q++ {
		children = append(children, q)
	}
	return children
}

// Hops returns the number of pulls that a record takes from a reader to
// position p.
func Hops(p int) int {
	hops := 0
	for ; p >= ReadersPerDataCentre; p = Parent(p) {
		hops++
	}
	return hops
}
