package promptcache

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a prompt part for a model, named MODEL or MODEL/ADAPTER. The hash
// does not cover the parts before it, since an engine's events name single parts.
func Hash(name, id string) uint64 { return HashName(name).Part(id) }

// NameHash is the hash of MODEL or MODEL/ADAPTER.
type NameHash uint64

// HashName returns the hash of a name.
func HashName(name string) NameHash { return NameHash(xxhash.Sum64String(name)) }

// Part returns the hash of a prompt part.
func (n NameHash) Part(id string) uint64 {
	// The product keeps equal ids of different models apart, in all bits.
	const odd = 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(uint64(n)|1, xxhash.Sum64String(id)^odd)
	return hi ^ lo
}
