package promptcache

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a prompt part for a model, named MODEL or MODEL/ADAPTER. The hash
// does not cover the parts before it, since an engine's events name single parts.
func Hash(name, id string) uint64 {
	var buf [128]byte
	b := append(buf[:0], name...)
	b = append(b, '|')
	return xxhash.Sum64(append(b, id...))
}
