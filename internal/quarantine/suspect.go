package quarantine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Suspect is something that several requests can have in common and that may crash an
// upstream: "part/ID" is a part of a prompt, "request/DIGEST" a whole request.
type Suspect string

const (
	partPrefix    = "part/"
	requestPrefix = "request/"
)

// Limits of the suspects of one request. A request that exceeds them is identified by its
// first parts and by its digest.
const (
	maxParts = 32
	// maxIDBytes bounds the id of a part, which the caller chooses. A longer one is
	// replaced by its hash.
	maxIDBytes = 32
)

// Identity is what tells a request apart from others. The id of the request is no part of
// it: a caller that sends a request again gives it another one.
type Identity struct {
	Team, Method, Host, URI string
	Body                    []byte
	Prompt                  []fleet.PromptPart
}

// Suspects returns the suspects of a request, the least specific first: the parts of its
// prompt in order, then its digest.
func (r Identity) Suspects() []Suspect {
	parts := r.Prompt[:min(len(r.Prompt), maxParts)]
	out := make([]Suspect, 0, len(parts)+1)
	for _, p := range parts {
		out = append(out, partSuspect(p.ID))
	}
	return append(out, Suspect(requestPrefix+r.Digest()))
}

// Digest returns a hash of the request's content in hexadecimal.
func (r Identity) Digest() string { return strconv.FormatUint(r.Hash(), 16) }

// Hash returns a hash of the request's content. The parts of the prompt say what the body
// contains, but the caller chooses their ids, so they count only without a body.
func (r Identity) Hash() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Team, r.Method, r.Host, r.URI} {
		// Writing to a hash never fails. The separator cannot occur in the strings.
		_, _ = h.WriteString(s + "\x00")
	}
	_, _ = h.Write(r.Body)
	if len(r.Body) == 0 {
		for _, p := range r.Prompt {
			_, _ = h.WriteString(p.ID + "\x00")
		}
	}
	return h.Sum64()
}

func partSuspect(id string) Suspect {
	if len(id) > maxIDBytes {
		id = "hash-" + strconv.FormatUint(xxhash.Sum64String(id), 16)
	}
	return Suspect(partPrefix + id)
}

// valid reports whether the suspect has a known kind and a bounded length.
func (s Suspect) valid() bool {
	return (s.isPart() || strings.HasPrefix(string(s), requestPrefix)) && len(s) <= len(requestPrefix)+maxIDBytes
}

// isPart reports whether the suspect is a part of prompts.
func (s Suspect) isPart() bool { return strings.HasPrefix(string(s), partPrefix) }
