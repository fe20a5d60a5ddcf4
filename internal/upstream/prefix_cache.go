package upstream

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// prefixesPerUpstream bounds what is remembered of one upstream's cached
// prompts: more than its memory holds of prompts of some thousand tokens.
const prefixesPerUpstream = 256

// prefixCache remembers the prompt parts that this instance sent to one
// upstream. The upstream keeps a part only with all parts before it.
type prefixCache struct {
	seen *lru.Cache[uint64, struct{}]
}

func newPrefixCache() prefixCache {
	c, err := lru.New[uint64, struct{}](prefixesPerUpstream)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err.Error())
	}
	return prefixCache{seen: c}
}

// chain returns a hash for each leading run of parts of a prompt.
func chain(name string, parts []fleet.PromptPart) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	out := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = d.WriteString("|" + p.ID)
		out[i] = d.Sum64()
	}
	return out
}

// cached returns the tokens of the longest leading run that is remembered.
func (c *prefixCache) cached(hashes []uint64, parts []fleet.PromptPart) int {
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
