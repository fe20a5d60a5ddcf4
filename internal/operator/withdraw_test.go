package operator

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// TestWithdrawUnderInvalidDocument guards H6: an operator can withdraw a key while
// the current document breaks a rule; any other change is still refused.
func TestWithdrawUnderInvalidDocument(t *testing.T) {
	is := is.New(t)
	c := NewStreamClient(standin.NewLog(), ClientSettings{})
	p := NewPublisher(c, c)
	digest := "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	// Views apply records without validating the document, so a document that an
	// older release accepted may break a newer rule, here that weights are not
	// negative.
	_, _, err := c.Append(t.Context(), record.ConfigChange{Changes: []record.EntryChange{
		{Section: record.SectionTeams, ID: "blue", Value: json.RawMessage(`{"rate_tokens_per_s":1,"burst_tokens":10,"weight":-1}`)},
		{Section: record.SectionKeys, ID: "leaked", Value: json.RawMessage(`{"team":"blue","sha256":"` + digest + `"}`)},
	}})
	is.NoErr(err)
	other := record.EntryChange{Section: record.SectionTeams, ID: "green", Value: json.RawMessage(`{"rate_tokens_per_s":1,"burst_tokens":10}`)}
	_, err = p.Publish(t.Context(), c.View().ConfigVersion, []record.EntryChange{other}, "add", "op")
	is.True(errkind.Is(err, errkind.ConfigInvalid))
	_, err = p.WithdrawKey(t.Context(), "leaked", "leaked", "op")
	is.NoErr(err)
	_, found := c.View().Keys.Get("leaked")
	is.True(!found)
}
