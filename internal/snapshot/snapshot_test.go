package snapshot

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

type holder struct{ v *fold.View }

func (h *holder) View() *fold.View { return h.v }
func (h *holder) MayWork() bool    { return true }

// grow appends n records to log and view.
func (h *holder) grow(log *standin.Log, n int) {
	for range n {
		body := record.MemberJoin{Instance: fmt.Sprint("i", uuid.NewString()), Incarnation: uuid.NewString(), DataCentre: "b"}
		if h.v.Members.Len() == 0 {
			body = record.MemberJoin{Instance: "first", Incarnation: "x", DataCentre: "a"}
		}
		e, _ := record.New("t", 0, body)
		data, _ := e.Encode()
		at, _ := log.Append(context.Background(), record.ControlStream, []json.RawMessage{data})
		h.v, _, _ = h.v.ApplyRecord(platform.Record{Offset: at, Data: data})
	}
}

// TestNewestComplete guards F17: a start from a snapshot that a killed writer
// left incomplete, that is corrupt, or whose first chunk has expired.
func TestNewestComplete(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	h := &holder{fold.Empty()}
	write := func(skip int, spoil bool) {
		h.grow(log, 1200)
		chunks, err := h.v.Snapshot()
		is.NoErr(err)
		is.True(len(chunks) > 1)
		for i, c := range chunks {
			if spoil {
				c.Data[9] ^= 1
			}
			data, _ := json.Marshal(c)
			if i >= skip {
				_, _ = log.Append(ctx, Stream, []json.RawMessage{data, data}) // twice: F7
			}
		}
	}
	newest := func() platform.Offset {
		v, err := Newest(ctx, log)
		is.NoErr(err)
		if v == nil {
			return 0
		}
		return v.Offset
	}
	is.Equal(newest(), platform.Offset(0))
	write(0, false)
	is.Equal(newest(), platform.Offset(1200))
	write(0, false)
	is.Equal(newest(), platform.Offset(2400))
	write(1, false)
	is.Equal(newest(), platform.Offset(2400)) // the incomplete one is passed over
	write(0, true)
	is.Equal(newest(), platform.Offset(2400)) // so is the corrupt one
	log.SetFaults(standin.LogFaults{Down: true})
	_, err := Newest(ctx, log)
	is.True(err != nil)
	log.SetFaults(standin.LogFaults{Retain: 1})
	_, _ = log.Append(ctx, Stream, []json.RawMessage{[]byte("{}")})
	is.Equal(newest(), platform.Offset(0)) // all have lost a chunk
}

// TestWriterDue guards F17: a snapshot exists before records expire, by the
// first instance only, and again when the old one has expired.
func TestWriterDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		log := standin.NewLog()
		h := &holder{fold.Empty()}
		h.grow(log, 10)
		w := NewWriter(log, h, relay.NewSelf("first", "a", "x"))
		second := NewWriter(log, h, relay.NewSelf("i1", "b", "x"))
		written := func() platform.Offset {
			is.NoErr(second.Check(ctx))
			is.NoErr(w.Check(ctx))
			v, err := Newest(ctx, log)
			is.NoErr(err)
			return v.Offset
		}
		is.Equal(written(), platform.Offset(10)) // the first snapshot at once
		h.grow(log, 50)
		is.Equal(written(), platform.Offset(10)) // nothing expires yet
		log.SetFaults(standin.LogFaults{Retain: 80})
		h.grow(log, 100)
		is.Equal(written(), platform.Offset(160)) // half of the kept records are newer
		h.grow(log, 20)
		is.Equal(written(), platform.Offset(160))
		time.Sleep(RewriteEvery)
		h.grow(log, Records)
		is.Equal(written(), platform.Offset(180+Records))
		time.Sleep(RewriteEvery)
		before, _ := log.Counts()
		is.Equal(written(), platform.Offset(180+Records))
		after, _ := log.Counts()
		is.True(after > before) // a quiet stream is written again before its snapshot expires
		h.grow(log, Records)
		log.SetFaults(standin.LogFaults{LoseResponses: true})
		is.True(w.Check(ctx) != nil)
	})
}
