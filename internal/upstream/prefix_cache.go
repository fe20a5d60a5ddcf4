package upstream

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// prefixesPerUpstream bounds the remembered prefixes of one upstream. It
// exceeds what fits in the memory of an engine for prompts of a few thousand
// tokens.
const prefixesPerUpstream = 256

// prefixCache remembers the prompt prefixes that this instance sent to one
// upstream. The upstream keeps a part in its cache only together with all parts
// before it.
type prefixCache struct {
	seen *lru.Cache[uint64, struct{}]
}

func newPrefixCache() prefixCache {
	c, err := lru.New[uint64, struct{}](prefixesPerUpstream)
	if err != nil {
		// New only fails if the size is not positive.
		panic(err.Error())
	}
	return prefixCache{seen: c}
}

// prefixHashes returns a hash of each prefix of a prompt: element i covers the
// parts up to and including part i.
func prefixHashes(name string, parts []fleet.PromptPart) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	out := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = d.WriteString("|" + p.ID)
		out[i] = d.Sum64()
	}
	return out
}

// cachedTokens returns the number of tokens in the longest remembered prefix.
func (c *prefixCache) cachedTokens(hashes []uint64, parts []fleet.PromptPart) int {
	tokens := 0
	for i, h := range hashes {
		if !c.seen.Contains(h) {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

func (c *prefixCache) add(hashes []uint64) {
	for _, h := range hashes {
		c.seen.Add(h, struct{}{})
	}
}

func (c *prefixCache) clear() { c.seen.Purge() }
