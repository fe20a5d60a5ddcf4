package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// TestGoneReason guards H1 and H13: a wrong `removed` gives away homes that are
// still held, so it needs both kinds of evidence (F12).
func TestGoneReason(t *testing.T) {
	for _, c := range []struct {
		silent time.Duration
		listed presence
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
		is.New(t).Equal(verdictOn(c.silent, c.listed), c.reason)
	}
}
