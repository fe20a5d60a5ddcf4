package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

// testSource is a Source that applies a log to a view and keeps the recent entries.
type testSource struct {
	*RecentEntries
	view *controlstate.View
}

func (s *testSource) View() *controlstate.View { return s.view }

func (s *testSource) read(log backing.Log) {
	page, _ := log.Read(context.Background(), record.ControlStream, s.view.Offset, 1000, 0)
	for _, r := range page.Records {
		next, e, verdict := s.view.ApplyRecord(r)
		s.view = next
		s.Observe(r.Offset, e, verdict)
	}
}

// appendChange appends a change of one team. Every third change has a stale base.
func appendChange(log backing.Log, n int, base backing.Offset) {
	if n%3 == 2 {
		base += 1000
	}
	body := record.ConfigChange{Base: base, Author: fmt.Sprintf("op-%d", n), Reason: "test", Changes: []record.EntryChange{
		{Section: record.SectionTeams, ID: fmt.Sprintf("t%d", n), Value: json.RawMessage(`{"rate_tokens_per_s":1,"burst_tokens":1}`)},
	}}
	e, _ := record.New("test", time.Now().UnixMilli(), body)
	data, _ := e.Encode()
	_, _ = log.Append(context.Background(), record.ControlStream, []json.RawMessage{data})
}

// expiringLog drops records after the retention, as the platform's log does.
type expiringLog struct {
	*standin.Log
	retention time.Duration
	written   map[string][]time.Time
}

func (l *expiringLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	before, _ := l.Counts()
	offset, err := l.Log.Append(ctx, stream, entries)
	if after, _ := l.Counts(); after > before {
		l.written[stream] = append(l.written[stream], time.Now())
	}
	return offset, err
}

func (l *expiringLog) Read(ctx context.Context, stream string, after backing.Offset, limit int, wait time.Duration) (backing.Page, error) {
	oldest := backing.Offset(1)
	for _, at := range l.written[stream] {
		if time.Since(at) > l.retention {
			oldest++
		}
	}
	if after+1 < oldest {
		return backing.Page{}, &backing.ExpiredError{Stream: stream, After: after, Oldest: oldest}
	}
	return l.Log.Read(ctx, stream, after, limit, wait)
}

// TestArchiverKeepsEntries checks that every change is found exactly once, with the
// verdict of the fold, although the log's retention is short, append responses get
// lost and another instance takes over as archiver. The case "no pages" is a
// negative control: its settings keep the archiver from writing any page.
func TestArchiverKeepsEntries(t *testing.T) {
	const changes, retention = 120, 20 * time.Minute
	defaults := ArchiverSettings{LogRetention: retention, PageEntries: 4}
	cases := map[string]struct {
		settings         ArchiverSettings
		loseResponses    bool
		takeover         bool
		outage           bool
		minKept, maxKept int
	}{
		"plain":                              {defaults, false, false, false, changes, changes},
		"lost append responses":              {defaults, true, false, false, changes, changes},
		"takeover":                           {defaults, false, true, false, changes, changes},
		"lost append responses and takeover": {defaults, true, true, false, changes, changes},
		"long outage":                        {defaults, false, false, true, 55, 55}, // the entries from before the outage have expired
		"past EntryRetention":                {ArchiverSettings{LogRetention: retention, PageEntries: 4, EntryRetention: time.Hour}, false, false, false, 60, 90},
		"no pages":                           {ArchiverSettings{LogRetention: 10_000 * time.Hour, PageEntries: 1000, MaxWait: 1000 * time.Hour}, false, false, false, 1, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &expiringLog{standin.NewLog(), retention, make(map[string][]time.Time)}
				source := &testSource{NewRecentEntries(0, 8), controlstate.Empty()}
				archiver := NewArchiver(log, source, c.settings)
				authors := make(map[backing.Offset]string)
				applied := make(map[backing.Offset]bool)
				for n := range changes {
					log.SetFaults(standin.LogFaults{LoseResponses: c.loseResponses, Down: c.outage && n >= 40 && n < 65})
					appendChange(log, n, source.view.ConfigVersion)
					source.read(log)
					if authors[source.view.Offset] == "" {
						authors[source.view.Offset] = fmt.Sprintf("op-%d", n)
					}
					applied[source.view.ConfigVersion] = true
					if c.takeover && n%7 == 6 {
						source.Reset(source.view.Offset)
						archiver = NewArchiver(log, source, c.settings)
					}
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute+time.Second)
					archiver.Run(ctx, time.Minute, func() bool { return true }, func(error) {})
					cancel()
				}
				got, err := Read(t.Context(), log, source.view.ConfigVersion)
				is.NoErr(err)
				is.True(len(got) >= c.minKept) // entries lost
				is.True(len(got) <= c.maxKept) // entries repeated or kept for too long
				t.Logf("%d of %d changes kept", len(got), changes)
				for _, e := range got {
					is.Equal(e.Applied, applied[e.Offset]) // the verdict of the fold
					is.Equal(e.Applied, e.Void == "")      // only a change that had no effect has a reason
					is.Equal(e.Author, authors[e.Offset])  // author
				}
			})
		})
	}
}
