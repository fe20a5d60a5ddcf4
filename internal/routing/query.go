package routing

// Query describes an attempt for which Choose picks an upstream.
type Query struct {
	// Homes are the instance ids of the upstreams that may serve the request.
	Homes []string
	// Tried are the homes that refused earlier attempts of this request.
	Tried []string
	// Prefixes are the hashes of the prompt up to each block boundary, longest
	// prefix first. It is empty for requests without a prompt.
	Prefixes []uint64
}
