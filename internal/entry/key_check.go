package entry

import (
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// keyCheck returns a check that fails once the call's key has been withdrawn,
// so that a stream which is already open ends too (H6). A check costs one
// atomic load while the view stays the same.
func (e *Entry) keyCheck(k *call) func() error {
	var last *fold.View
	return func() error {
		v := e.Fleet.View()
		if v == last || k.keyID == "" {
			return nil
		}
		last = v
		if key, ok := v.Keys.Get(k.keyID); !ok || key.Team != k.team {
			return errkind.New(errkind.KeyWithdrawn, "the key was withdrawn while the request ran").WithRanUnknown()
		}
		return nil
	}
}
