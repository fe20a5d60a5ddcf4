package engine

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// DecodeError returns the error that an unstreamed answer stands for. Only a body
// in this project's error form counts: a plain service's own error answer is
// an answer.
func DecodeError(w Response) (*errkind.Error, bool) {
	const firstError = 400
	if w.Status < firstError {
		return nil, false
	}
	var b errkind.Body
	if json.Unmarshal(w.Body, &b) != nil || !errkind.Listed(b.Error.Kind) {
		return nil, false
	}
	return b.AsError(), true
}
