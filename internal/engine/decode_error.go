package engine

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// DecodeError returns the error that a response contains, or false if it contains
// none. It recognizes only bodies in Jacinthbend's error format with a known kind.
// Any other error response of a plain service is passed on to the caller.
func DecodeError(r Response) (*errkind.Error, bool) {
	const firstError = 400
	if r.Status < firstError {
		return nil, false
	}
	var b errkind.Body
	if json.Unmarshal(r.Body, &b) != nil || !errkind.IsListed(b.Error.Kind) {
		return nil, false
	}
	return b.AsError(), true
}
