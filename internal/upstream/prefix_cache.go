package upstream

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
)

// prefixesPerUpstream bounds the remembered prefixes of one upstream. It
// exceeds what fits in the memory of an engine for prompts of a few thousand
// tokens.
const prefixesPerUpstream = 256

// prefixCache remembers the prompt prefixes that this instance sent to one
// upstream, and when for the first and the last time. The upstream keeps a part in its cache only together with
// all parts before it.
type prefixCache struct {
	seen *lru.Cache[uint64, *sentTimes]
}

type sentTimes struct{ first, last time.Time }

func newPrefixCache() prefixCache {
	c, err := lru.New[uint64, *sentTimes](prefixesPerUpstream)
	if err != nil {
		// New only fails if the size is not positive.
		panic(err.Error())
	}
	return prefixCache{seen: c}
}

// promptHashes are the hashes of a prompt: element i of prefixes covers the parts up to and
// including part i, element i of parts that part alone. parts is empty while no engine
// reports what it has cached.
type promptHashes struct{ prefixes, parts []uint64 }

// hashPrompt returns the hashes of q's prompt.
func (p *Pool) hashPrompt(q *Query) promptHashes {
	name, n := q.Name(), len(q.Prompt)
	d := xxhash.New()
	_, _ = d.WriteString(name)
	if !p.cacheReports {
		out := promptHashes{prefixes: make([]uint64, n)}
		out.addPrefixes(d, q.Prompt)
		return out
	}
	both := make([]uint64, 2*n)
	out := promptHashes{prefixes: both[:n], parts: both[n:]}
	out.addPrefixes(d, q.Prompt)
	nameHash := promptcache.HashName(name)
	for i, part := range q.Prompt {
		out.parts[i] = nameHash.Part(part.ID)
	}
	return out
}

func (h *promptHashes) addPrefixes(d *xxhash.Digest, parts []fleet.PromptPart) {
	for i, p := range parts {
		_, _ = d.WriteString("|")
		_, _ = d.WriteString(p.ID)
		h.prefixes[i] = d.Sum64()
	}
}

// cachedParts returns the report of what an engine has cached, nil if there is none.
func (p *Pool) cachedParts(s *state, now time.Time) *promptcache.Parts {
	if !p.cacheReports || !s.hasAgentState(now) {
		return nil
	}
	return s.agent.Cached
}

// cachedTokens returns the number of tokens in the longest prefix of the prompt that the
// engine has, by what this instance sent and by the engine's report, which may be nil. What
// was sent after recent may be missing from the report.
func (c *prefixCache) cachedTokens(h promptHashes, prompt []fleet.PromptPart, report *promptcache.Parts, recent time.Time) int {
	tokens := 0
	for i, p := range prompt[:len(h.prefixes)] {
		if sent, ok := c.seen.Peek(h.prefixes[i]); ok && (report == nil || sent.last.After(recent) || !report.Lists(p.Tokens, sent.first)) {
			tokens += p.Tokens
			continue
		}
		if report == nil || len(h.parts) == 0 {
			break
		}
		cached, whole := report.Tokens(h.parts[i], p.Tokens)
		tokens += cached
		if !whole && p.Tokens >= promptcache.MinTokens {
			break
		}
	}
	return tokens
}

func (c *prefixCache) add(prefixes []uint64, now time.Time) {
	for _, h := range prefixes {
		sent, ok := c.seen.Get(h)
		if !ok {
			sent = &sentTimes{first: now}
			c.seen.Add(h, sent)
		}
		sent.last = now
	}
}

func (c *prefixCache) clear() { c.seen.Purge() }
