package operator

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

// desk returns a publisher with its client over a log.
func desk(t *testing.T, log platform.Log) (*Publisher, *StreamClient) {
	client := NewStreamClient(log, ClientSettings{})
	is.New(t).NoErr(client.Refresh(t.Context()))
	return NewPublisher(client, client), client
}

func teamChange(id, value string) []record.EntryChange {
	return []record.EntryChange{{Section: record.SectionTeams, ID: id, Value: []byte(value)}}
}

const goodTeam = `{"rate_tokens_per_s": 2, "burst_tokens": 2}`

// TestPublishErrors guards the kind of each refusal and that a refusal
// appends nothing.
func TestPublishErrors(t *testing.T) {
	cases := map[string]struct {
		base    platform.Offset
		changes []record.EntryChange
		reason  string
		author  string
		kind    errkind.Kind
	}{
		"no author":     {0, teamChange("t", goodTeam), "", "", errkind.InvalidRequest},
		"long reason":   {0, teamChange("t", goodTeam), strings.Repeat("x", 501), "ann", errkind.InvalidRequest},
		"long author":   {0, teamChange("t", goodTeam), "", strings.Repeat("x", 101), errkind.InvalidRequest},
		"base unread":   {7, teamChange("t", goodTeam), "", "ann", errkind.ViewStale},
		"unknown field": {0, teamChange("t", `{"rate": 1}`), "", "ann", errkind.ConfigInvalid},
		"invalid":       {0, teamChange("t", `{"rate_tokens_per_s": 9, "burst_tokens": 1}`), "", "ann", errkind.ConfigInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := standin.NewLog()
			p, _ := desk(t, log)
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

// TestConflictNamesWinner guards what the loser of a race is told.
func TestConflictNamesWinner(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	winner, _ := desk(t, log)
	loser, client := desk(t, log)
	first, err := winner.Publish(t.Context(), 0, teamChange("t", goodTeam), "more", "ann")
	is.NoErr(err)
	_, err = winner.Publish(t.Context(), first.Version, teamChange("u", goodTeam), "", "ann")
	is.NoErr(err)
	for range 2 { // The first conflict is the fold's, the second the publisher's own.
		_, err = loser.Publish(t.Context(), 0, teamChange("t", `{"rate_tokens_per_s": 1, "burst_tokens": 2}`), "less", "bob")
		var c *Conflict
		is.True(errors.As(err, &c))
		is.True(errkind.Is(err, errkind.ConfigConflict))
		is.Equal(c.Winner.Author, "ann")
		is.Equal(c.Winner.Offset, first.Version)
		is.Equal(c.Version, platform.Offset(2))
		is.Equal(len(c.Difference), 2)
		is.Equal(c.Overlap, []string{"teams/t"})
		is.True(c.Complete)
		appends, _ := log.Counts()
		is.Equal(appends, 3) // the second conflict must not append
	}
	is.True(!newConflict(0, 3, nil, client).Complete) // the history has not seen version 3
	again, err := loser.Publish(t.Context(), 0, teamChange("t", goodTeam), "", "bob")
	is.NoErr(err)
	is.True(again.Unchanged) // a repeated publication must not fail
	entries, _ := client.Since(0)
	is.Equal(len(entries), 3)
	is.Equal(entries[2].Applied, false)
}

// TestKeys guards issue, list and withdrawal of keys, also while others
// publish: a conflict must not lose a withdrawal.
func TestKeys(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	p, _ := desk(t, log)
	other, _ := desk(t, log)
	_, err := p.IssueKey(t.Context(), "t", "", "ann")
	is.True(errkind.Is(err, errkind.ConfigInvalid)) // no such team
	_, err = p.Publish(t.Context(), 0, teamChange("t", goodTeam), "", "ann")
	is.NoErr(err)
	key, err := p.issueKey(t.Context(), bytes.NewReader(make([]byte, 40)), "t", "till 4", "ann")
	is.NoErr(err)
	is.True(strings.HasPrefix(key.Secret, secretPrefix))
	is.Equal(p.ListKeys("t"), []KeyInfo{{ID: key.ID, Team: "t", SHA256: config.HashSecret(key.Secret), Note: "till 4"}})
	is.Equal(p.ListKeys("u"), []KeyInfo{})
	second, err := p.IssueKey(t.Context(), "t", "", "ann")
	is.NoErr(err)
	is.True(second.Secret != key.Secret)
	_, err = other.Publish(t.Context(), 0, teamChange("u", goodTeam), "", "bob")
	is.True(errkind.Is(err, errkind.ConfigConflict)) // brings other up to date
	_, err = other.Publish(t.Context(), second.Version, teamChange("u", goodTeam), "", "bob")
	is.NoErr(err)
	_, err = p.WithdrawKey(t.Context(), key.ID, "lost", "ann")
	is.NoErr(err) // p had not read the change to team u
	is.Equal(len(p.ListKeys("")), 1)
	_, err = p.WithdrawKey(t.Context(), key.ID, "lost", "ann")
	is.True(errkind.Is(err, errkind.InvalidRequest)) // an unknown key may be a typing error
	// A key that gets another id, here one that sorts before the old one, must
	// keep working.
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

// TestSetDataCentre guards taking a data centre out and in.
func TestSetDataCentre(t *testing.T) {
	is := is.New(t)
	p, client := desk(t, standin.NewLog())
	_, err := p.SetDataCentreState(t.Context(), "dc", config.DataCentreOut, "", "ann")
	is.True(errkind.Is(err, errkind.InvalidRequest))
	change, err := put(record.SectionDataCentres, "dc", config.DataCentre{Region: "r"})
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
