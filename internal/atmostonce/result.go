package atmostonce

// MaxResultBytes is the largest result body kept in the log, in bytes.
const MaxResultBytes = 16 << 10

// Result is the response to a completed call.
type Result struct {
	// Status is the HTTP status of the upstream's response.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDigest is the digest of the whole body, set when the body is omitted.
	BodyDigest Digest `json:"body_digest,omitempty"`
	// BodyOmitted is true when the body exceeded MaxResultBytes and was not kept.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// WithoutLargeBody returns r in the form that is recorded: a body of more than
// MaxResultBytes is replaced by its digest.
func (r Result) WithoutLargeBody() Result {
	if len(r.Body) <= MaxResultBytes {
		return r
	}
	r.BodyDigest = DigestOf("", "", r.Body)
	r.Body = nil
	r.BodyOmitted = true
	return r
}
