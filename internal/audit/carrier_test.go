package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

// instance is a Source that folds a log and keeps its trail.
type instance struct {
	*Trail
	view *fold.View
}

func (i *instance) View() *fold.View { return i.view }

func (i *instance) read(log platform.Log) {
	page, _ := log.Read(context.Background(), record.ControlStream, i.view.Offset, 1000, 0)
	for _, r := range page.Records {
		next, e, verdict := i.view.ApplyRecord(r)
		i.view = next
		i.Observe(r.Offset, e, verdict)
	}
}

// change appends a change of one team; every third has a stale base.
func change(log platform.Log, n int, base platform.Offset) {
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

// agingLog keeps records for a time, as the platform's log does.
type agingLog struct {
	*standin.Log
	keep    time.Duration
	written map[string][]time.Time
}

func (l *agingLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (platform.Offset, error) {
	before, _ := l.Counts()
	offset, err := l.Log.Append(ctx, stream, entries)
	if after, _ := l.Counts(); after > before {
		l.written[stream] = append(l.written[stream], time.Now())
	}
	return offset, err
}

func (l *agingLog) Read(ctx context.Context, stream string, after platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	oldest := platform.Offset(1)
	for _, at := range l.written[stream] {
		if time.Since(at) > l.keep {
			oldest++
		}
	}
	if after+1 < oldest {
		return platform.Page{}, &platform.ExpiredError{Stream: stream, After: after, Oldest: oldest}
	}
	return l.Log.Read(ctx, stream, after, limit, wait)
}

// TestCarrierKeepsTrail guards the trail against the log's retention, lost
// answers and a change of the carrying instance: every change is found once,
// with the verdict of the fold. The last case switches paging off.
func TestCarrierKeepsTrail(t *testing.T) {
	const changes, keep = 120, 20 * time.Minute
	usual := CarrierSettings{Retention: keep, PageEntries: 4}
	cases := map[string]struct {
		settings    CarrierSettings
		loseAnswers bool
		takeover    bool
		outage      bool
		least, most int
	}{
		"plain":        {usual, false, false, false, changes, changes},
		"lost answers": {usual, true, false, false, changes, changes},
		"takeover":     {usual, false, true, false, changes, changes},
		"both":         {usual, true, true, false, changes, changes},
		"long outage":  {usual, false, false, true, 55, 55}, // what was there before it has expired
		"past KeepFor": {CarrierSettings{Retention: keep, PageEntries: 4, KeepFor: time.Hour}, false, false, false, 60, 90},
		"not paged":    {CarrierSettings{Retention: 10_000 * time.Hour, PageEntries: 1000, MaxWait: 1000 * time.Hour}, false, false, false, 1, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &agingLog{standin.NewLog(), keep, make(map[string][]time.Time)}
				in := &instance{NewTrail(0, 8), fold.Empty()}
				carrier := NewCarrier(log, in, c.settings)
				authors := make(map[platform.Offset]string)
				applied := make(map[platform.Offset]bool)
				for n := range changes {
					log.SetFaults(standin.LogFaults{LoseResponses: c.loseAnswers, Down: c.outage && n >= 40 && n < 65})
					change(log, n, in.view.ConfigVersion)
					in.read(log)
					if authors[in.view.Offset] == "" {
						authors[in.view.Offset] = fmt.Sprintf("op-%d", n)
					}
					applied[in.view.ConfigVersion] = true
					if c.takeover && n%7 == 6 {
						in.Restart(in.view.Offset)
						carrier = NewCarrier(log, in, c.settings)
					}
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute+time.Second)
					carrier.Run(ctx, time.Minute, func() bool { return true }, func(error) {})
					cancel()
				}
				got, err := Read(t.Context(), log, in.view.ConfigVersion)
				is.NoErr(err)
				is.True(len(got) >= c.least) // entries lost
				is.True(len(got) <= c.most)  // entries repeated, or kept for ever
				t.Logf("%d of %d changes kept", len(got), changes)
				for _, e := range got {
					is.Equal(e.Applied, applied[e.Offset]) // verdict
					is.Equal(e.Applied, e.Void == "")      // reason of a void change
					is.Equal(e.Author, authors[e.Offset])  // author
				}
			})
		})
	}
}
