package promptcache

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parts are the prompt parts that an engine has cached, as far as they are reported. A nil
// *Parts is no report. It does not change after it was made.
type Parts struct {
	// hashes are sorted; sizes are in the same order.
	hashes []uint64
	sizes  []size
	floor  size
	// since is when the list began: parts sent earlier may be cached without being listed.
	since time.Time
}

// Apply returns the parts after a report that arrives now, which is a full list, the changes to
// p, or empty. With a wrong report, it returns no parts.
func (p *Parts) Apply(report string, now time.Time) (*Parts, error) {
	if report == "" {
		return p, nil
	}
	full, floor, entries, err := decodeReport(report)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.hash, b.hash) })
	old := &Parts{since: now}
	if p != nil && !full {
		old = p
	}
	out := &Parts{floor: floor, since: old.since, hashes: make([]uint64, 0, len(old.hashes)+len(entries)), sizes: make([]size, 0, len(old.hashes)+len(entries))}
	i := 0
	for _, e := range entries {
		for ; i < len(old.hashes) && old.hashes[i] < e.hash; i++ {
			out.add(old.hashes[i], old.sizes[i])
		}
		if i < len(old.hashes) && old.hashes[i] == e.hash {
			i++
		}
		out.add(e.hash, e.size)
	}
	for ; i < len(old.hashes); i++ {
		out.add(old.hashes[i], old.sizes[i])
	}
	return out, nil
}

// add appends a part, as long as there are at most MaxParts: an agent that reports more is at
// fault, and its excess only means that parts are taken as not cached.
func (p *Parts) add(hash uint64, s size) {
	if n := len(p.hashes); s == 0 || n == MaxParts || n > 0 && p.hashes[n-1] == hash {
		return
	}
	p.hashes, p.sizes = append(p.hashes, hash), append(p.sizes, s)
}

// Len returns the number of parts.
func (p *Parts) Len() int {
	if p == nil {
		return 0
	}
	return len(p.hashes)
}

// wholeShare is the share of a part's tokens from which it counts as whole. Sizes are rounded,
// and an engine may keep whole blocks of tokens only.
const wholeShare = 0.9

// Tokens returns how many of a part's tokens are cached, and whether these are all.
func (p *Parts) Tokens(hash uint64, tokens int) (cached int, whole bool) {
	if p == nil {
		return 0, false
	}
	i, ok := slices.BinarySearch(p.hashes, hash)
	if !ok {
		return 0, false
	}
	if kept := p.sizes[i].tokens(); float64(kept) < wholeShare*float64(tokens) {
		return kept, false
	}
	return tokens, true
}

// Lists reports whether a part of this many tokens that was sent for the first time at sentAt
// would be listed if it were still cached. It may take some seconds until it is.
func (p *Parts) Lists(tokens int, sentAt time.Time) bool {
	return p != nil && tokens >= MinTokens && sizeOf(tokens) > p.floor && sentAt.After(p.since)
}

// ReportSince returns the report for a caller that has old, which may be nil.
func (p *Parts) ReportSince(old *Parts) string {
	switch {
	case p == old:
		return ""
	case p == nil:
		return encodeReport(true, math.MaxUint8, nil)
	}
	full := old == nil || !old.since.Equal(p.since)
	if full {
		old = &Parts{}
	}
	var entries []entry
	i := 0
	for j, h := range p.hashes {
		for ; i < len(old.hashes) && old.hashes[i] < h; i++ {
			entries = append(entries, entry{hash: old.hashes[i]})
		}
		if i < len(old.hashes) && old.hashes[i] == h {
			i++
			if old.sizes[i-1] == p.sizes[j] {
				continue
			}
		}
		entries = append(entries, entry{hash: h, size: p.sizes[j]})
	}
	for ; i < len(old.hashes); i++ {
		entries = append(entries, entry{hash: old.hashes[i]})
	}
	return encodeReport(full, p.floor, entries)
}
