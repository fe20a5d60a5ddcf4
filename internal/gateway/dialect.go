package gateway

import (
	"net/http"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Dialect translates headers between callers, the system and upstreams.
type Dialect interface {
	// Attributes decodes what a caller's request says of itself.
	Attributes(h http.Header) (fleet.RequestAttributes, error)
	// ForwardHeader returns the header that an upstream receives.
	ForwardHeader(h http.Header, f fleet.ForwardAttributes) http.Header
	// Answer decodes the head of an upstream's answer.
	Answer(h http.Header) fleet.ResponseAttributes
	// AnswerHeader returns the header that the caller receives.
	AnswerHeader(h http.Header) http.Header
	// RequestIDHeader names the header that bears the id of a request.
	RequestIDHeader() string
}
