package entry

import (
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// keyCheck returns a function that fails once the request's key has been
// withdrawn. It is called during a stream as well, so that open streams end too
// (H6). Until the view changes, each call costs one atomic load.
func (e *Entry) keyCheck(info *requestInfo) func() error {
	var last *controlstate.View
	return func() error {
		v := e.Fleet.View()
		if v == last || info.keyID == "" {
			return nil
		}
		last = v
		if key, ok := v.Keys.Get(info.keyID); !ok || key.Team != info.team {
			return errkind.New(errkind.KeyWithdrawn, "the key was withdrawn while the request ran").WithRanUnknown()
		}
		return nil
	}
}
