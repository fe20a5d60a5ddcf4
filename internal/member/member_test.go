package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// TestGoneReason guards H1 and H13. A `removed` record for a live instance would
// delete its homes although it still holds the checkpoints. The record therefore
// requires both silence and absence from the platform list (F12).
func TestGoneReason(t *testing.T) {
	for _, c := range []struct {
		silent time.Duration
		listed listStatus
		reason record.GoneReason
	}{
		{UnlistedTimeout - 1, unlisted, ""},
		{UnlistedTimeout, unlisted, record.GoneSilent},
		{UnlistedTimeout, listedLeaving, record.GoneSilent},
		{UnlistedTimeout, listedLive, ""},
		{UnlistedTimeout, listUnknown, ""},
		{ListedTimeout - 1, listedLive, ""},
		{ListedTimeout, listedLive, record.GoneSilent},
		{ListedTimeout, listedLeaving, record.GoneSilent},
		{ListedTimeout, listUnknown, record.GoneSilent},
		{ListedTimeout, unlisted, record.GoneRemoved},
	} {
		is.New(t).Equal(goneReason(c.silent, c.listed), c.reason)
	}
}
