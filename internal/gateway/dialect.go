package gateway

import (
	"net/http"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Dialect decodes and rewrites the HTTP headers of callers and upstreams.
type Dialect interface {
	// Attributes decodes the header of a caller's request.
	Attributes(h http.Header) (fleet.RequestAttributes, error)
	// ForwardHeader returns the header that an upstream receives.
	ForwardHeader(h http.Header, f fleet.ForwardAttributes) http.Header
	// Answer decodes the header of an upstream's response.
	Answer(h http.Header) fleet.ResponseAttributes
	// AnswerHeader returns the header that the caller receives.
	AnswerHeader(h http.Header) http.Header
	// LifeCheckPath returns the path at which an upstream of the service answers a GET request while it
	// runs, or empty if there is none.
	LifeCheckPath(s *fleet.Service) string
	// RequestIDHeader returns the name of the header that carries the request id.
	RequestIDHeader() string
}
