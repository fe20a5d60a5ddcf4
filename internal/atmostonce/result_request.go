package atmostonce

// ResultRequest is the body of POST /once/result. If Result is nil, the request
// records that the attempt did not run, which is allowed only after its agent has
// fenced it.
type ResultRequest struct {
	CallID
	Digest  Digest  `json:"digest"`
	Attempt string  `json:"attempt"`
	Result  *Result `json:"result,omitempty"`
}
