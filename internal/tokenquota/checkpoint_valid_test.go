package tokenquota

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestImplausibleCheckpointRestored guards against a checkpoint of another writer that gives a team tokens
// or dates what it spent beyond what clocks can tell.
func TestImplausibleCheckpointRestored(t *testing.T) {
	for data, valid := range map[string]bool{
		`{"at":1764900000000,"spent":{"t":[1,0,2.5]}}`: true,
		`{"at":1764900000000}`:                         true,
		`{"at":-1,"spent":{"t":[1]}}`:                  false,
		`{"at":9223372036854775807}`:                   false,
		`{"at":1764900000000,"spent":{"t":[1,-5]}}`:    false,
		`{"at":1764900000000,"era":-1}`:                false,
	} {
		var c Checkpoint
		is.New(t).NoErr(json.Unmarshal([]byte(data), &c))
		if c.Valid() != valid {
			t.Errorf("%s: valid %t", data, c.Valid())
		}
	}
}
