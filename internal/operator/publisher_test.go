package operator

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

// newTestPublisher returns a publisher and its stream client on a log.
func newTestPublisher(t *testing.T, log backing.Log) (*Publisher, *StreamClient) {
	client := NewStreamClient(log, ClientSettings{})
	is.New(t).NoErr(client.Refresh(t.Context()))
	return NewPublisher(client, client), client
}

func teamChange(id, value string) []record.EntryChange {
	return []record.EntryChange{{Section: record.SectionTeams, ID: id, Value: []byte(value)}}
}

const validTeam = `{"rate_tokens_per_s": 2, "burst_tokens": 2}`

// TestPublishErrors checks the kind of each refusal and that a refused
// publication appends nothing.
func TestPublishErrors(t *testing.T) {
	cases := map[string]struct {
		base    backing.Offset
		changes []record.EntryChange
		reason  string
		author  string
		kind    errkind.Kind
	}{
		"no author":     {0, teamChange("t", validTeam), "", "", errkind.InvalidRequest},
		"long reason":   {0, teamChange("t", validTeam), strings.Repeat("x", 501), "ann", errkind.InvalidRequest},
		"long author":   {0, teamChange("t", validTeam), "", strings.Repeat("x", 101), errkind.InvalidRequest},
		"base unread":   {7, teamChange("t", validTeam), "", "ann", errkind.ViewStale},
		"unknown field": {0, teamChange("t", `{"rate": 1}`), "", "ann", errkind.ConfigInvalid},
		"invalid":       {0, teamChange("t", `{"rate_tokens_per_s": 9, "burst_tokens": 1}`), "", "ann", errkind.ConfigInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := standin.NewLog()
			p, _ := newTestPublisher(t, log)
			_, err := p.Publish(t.Context(), c.base, c.changes, c.reason, c.author)
			is.True(errkind.Is(err, c.kind))
			is.Equal(errkind.From(err).Ran, errkind.RanNo)
			appends, _ := log.Counts()
			is.Equal(appends, 0) // a refused change was appended
			var problems config.Problems
			is.Equal(errors.As(err, &problems), c.kind == errkind.ConfigInvalid)
		})
	}
}

// TestConflictNamesWinner checks the conflict that the loser of a race gets.
func TestConflictNamesWinner(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	winner, _ := newTestPublisher(t, log)
	loser, client := newTestPublisher(t, log)
	first, err := winner.Publish(t.Context(), 0, teamChange("t", validTeam), "more", "ann")
	is.NoErr(err)
	_, err = winner.Publish(t.Context(), first.Version, teamChange("u", validTeam), "", "ann")
	is.NoErr(err)
	for range 2 { // The view rejects the first attempt, the publisher the second.
		_, err = loser.Publish(t.Context(), 0, teamChange("t", `{"rate_tokens_per_s": 1, "burst_tokens": 2}`), "less", "bob")
		var c *Conflict
		is.True(errors.As(err, &c))
		is.True(errkind.Is(err, errkind.ConfigConflict))
		is.Equal(c.Winner.Author, "ann")
		is.Equal(c.Winner.Offset, first.Version)
		is.Equal(c.Version, backing.Offset(2))
		is.Equal(len(c.Difference), 2)
		is.Equal(c.Overlap, []string{"teams/t"})
		is.True(c.Complete)
		appends, _ := log.Counts()
		is.Equal(appends, 3) // the second conflict must not append
	}
	is.True(!newConflict(0, 3, nil, client).Complete) // the history has not seen version 3
	again, err := loser.Publish(t.Context(), 0, teamChange("t", validTeam), "", "bob")
	is.NoErr(err)
	is.True(again.Unchanged) // a repeated publication must not fail
	entries, _ := client.Since(0)
	is.Equal(len(entries), 3)
	is.Equal(entries[2].Applied, false)
}

// TestKeys checks that keys can be issued, listed and withdrawn, also while
// another operator publishes: a conflict must not lose a withdrawal.
func TestKeys(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	p, _ := newTestPublisher(t, log)
	other, _ := newTestPublisher(t, log)
	_, err := p.IssueKey(t.Context(), "t", "", "ann")
	is.True(errkind.Is(err, errkind.ConfigInvalid)) // no such team
	_, err = p.Publish(t.Context(), 0, teamChange("t", validTeam), "", "ann")
	is.NoErr(err)
	key, err := p.issueKey(t.Context(), bytes.NewReader(make([]byte, 40)), "t", "till 4", "ann")
	is.NoErr(err)
	is.True(strings.HasPrefix(key.Secret, secretPrefix))
	is.Equal(p.ListKeys("t"), []KeyInfo{{ID: key.ID, Team: "t", SHA256: config.HashSecret(key.Secret), Note: "till 4"}})
	is.Equal(p.ListKeys("u"), []KeyInfo{})
	second, err := p.IssueKey(t.Context(), "t", "", "ann")
	is.NoErr(err)
	is.True(second.Secret != key.Secret)
	_, err = other.Publish(t.Context(), 0, teamChange("u", validTeam), "", "bob")
	is.True(errkind.Is(err, errkind.ConfigConflict)) // brings other up to date
	_, err = other.Publish(t.Context(), second.Version, teamChange("u", validTeam), "", "bob")
	is.NoErr(err)
	_, err = p.WithdrawKey(t.Context(), key.ID, "lost", "ann")
	is.NoErr(err) // p had not read the change to team u
	is.Equal(len(p.ListKeys("")), 1)
	_, err = p.WithdrawKey(t.Context(), key.ID, "lost", "ann")
	is.True(errkind.Is(err, errkind.InvalidRequest)) // an unknown key may be a typing error
	// A key must keep working when its id changes, here to one that sorts before
	// the old id.
	doc := p.View().Document()
	doc.Keys = map[string]config.Key{"a": doc.Keys[second.ID]}
	_, err = p.Publish(t.Context(), p.View().ConfigVersion, config.Diff(p.View().Document(), doc), "", "ann")
	is.NoErr(err)
	owner, _ := p.View().KeyIDByHash.Get(config.HashSecret(second.Secret))
	is.Equal(owner, "a")
	page, err := log.Read(context.Background(), record.ControlStream, 0, 100, 0)
	is.NoErr(err)
	for _, r := range page.Records {
		is.True(!bytes.Contains(r.Data, []byte(key.Secret))) // a secret was stored
	}
}

// TestSetDataCentre checks that a data centre can be taken out of service and
// returned, and that repeating either publishes nothing.
func TestSetDataCentre(t *testing.T) {
	is := is.New(t)
	p, client := newTestPublisher(t, standin.NewLog())
	_, err := p.SetDataCentreState(t.Context(), "dc", config.DataCentreOut, "", "ann")
	is.True(errkind.Is(err, errkind.InvalidRequest))
	change, err := putChange(record.SectionDataCentres, "dc", config.DataCentre{Region: "r"})
	is.NoErr(err)
	_, err = p.Publish(t.Context(), 0, []record.EntryChange{change}, "", "ann")
	is.NoErr(err)
	for _, state := range []config.DataCentreState{config.DataCentreOut, config.DataCentreOut, config.DataCentreIn} {
		before := client.View().ConfigVersion
		dc, _ := client.View().DataCentres.Get("dc")
		got, err := p.SetDataCentreState(t.Context(), "dc", state, "work", "ann")
		is.NoErr(err)
		is.Equal(got.Unchanged, dc.State == state)
		is.Equal(got.Version == before, dc.State == state)
		dc, _ = client.View().DataCentres.Get("dc")
		is.Equal(dc, config.DataCentre{Region: "r", State: state})
	}
}
