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

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/relay"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

type fakeReplica struct{ v *controlstate.View }

func (h *fakeReplica) View() *controlstate.View { return h.v }
func (h *fakeReplica) MayWork() bool            { return true }

// appendJoins appends n join records to the log and applies them to the view.
func (h *fakeReplica) appendJoins(log *standin.Log, n int) {
	for range n {
		body := record.MemberJoin{Instance: fmt.Sprint("i", uuid.NewString()), Incarnation: uuid.NewString(), DataCentre: "b"}
		if h.v.Members.Len() == 0 {
			body = record.MemberJoin{Instance: "first", Incarnation: "x", DataCentre: "a"}
		}
		e, _ := record.New("t", 0, body)
		data, _ := e.Encode()
		at, _ := log.Append(context.Background(), record.ControlStream, []json.RawMessage{data})
		h.v, _, _ = h.v.ApplyRecord(backing.Record{Offset: at, Data: data})
	}
}

// TestNewestSkipsUnusable guards F17 against a start from a snapshot that is
// incomplete because its writer was killed, that is corrupt, or whose first
// chunk has expired.
func TestNewestSkipsUnusable(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	h := &fakeReplica{controlstate.Empty()}
	write := func(skip int, corrupt bool) {
		h.appendJoins(log, 1200)
		chunks, err := h.v.Snapshot()
		is.NoErr(err)
		is.True(len(chunks) > 1)
		for i, c := range chunks {
			if corrupt {
				c.Data[9] ^= 1
			}
			data, _ := json.Marshal(c)
			if i >= skip {
				_, _ = log.Append(ctx, Stream, []json.RawMessage{data, data}) // twice: F7
			}
		}
	}
	newest := func() backing.Offset {
		v, err := Newest(ctx, log)
		is.NoErr(err)
		if v == nil {
			return 0
		}
		return v.Offset
	}
	is.Equal(newest(), backing.Offset(0))
	write(0, false)
	is.Equal(newest(), backing.Offset(1200))
	write(0, false)
	is.Equal(newest(), backing.Offset(2400))
	write(1, false)
	is.Equal(newest(), backing.Offset(2400)) // skips the incomplete snapshot
	write(0, true)
	is.Equal(newest(), backing.Offset(2400)) // skips the corrupt snapshot
	log.SetFaults(standin.LogFaults{Down: true})
	_, err := Newest(ctx, log)
	is.True(err != nil)
	log.SetFaults(standin.LogFaults{Retain: 1})
	_, _ = log.Append(ctx, Stream, []json.RawMessage{[]byte("{}")})
	is.Equal(newest(), backing.Offset(0)) // every snapshot has lost a chunk
}

// TestWriterSchedule guards F17: the designated writer, and no other instance,
// writes a snapshot before the records it covers expire, and writes it again
// before the snapshot itself expires.
func TestWriterSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		log := standin.NewLog()
		h := &fakeReplica{controlstate.Empty()}
		h.appendJoins(log, 10)
		w := NewWriter(log, h, relay.NewSelf("first", "a", "x"))
		second := NewWriter(log, h, relay.NewSelf("i1", "b", "x"))
		written := func() backing.Offset {
			is.NoErr(second.Check(ctx))
			is.NoErr(w.Check(ctx))
			v, err := Newest(ctx, log)
			is.NoErr(err)
			return v.Offset
		}
		is.Equal(written(), backing.Offset(10)) // the first snapshot is due at once
		h.appendJoins(log, 50)
		is.Equal(written(), backing.Offset(10)) // nothing expires yet
		log.SetFaults(standin.LogFaults{Retain: 80})
		h.appendJoins(log, 100)
		is.Equal(written(), backing.Offset(160)) // half of the retained records are newer
		h.appendJoins(log, 20)
		is.Equal(written(), backing.Offset(160))
		time.Sleep(RewriteInterval)
		h.appendJoins(log, RecordsPerSnapshot)
		is.Equal(written(), backing.Offset(180+RecordsPerSnapshot))
		time.Sleep(RewriteInterval)
		before, _ := log.Counts()
		is.Equal(written(), backing.Offset(180+RecordsPerSnapshot))
		after, _ := log.Counts()
		is.True(after > before) // writes again without new records before the snapshot expires
		h.appendJoins(log, RecordsPerSnapshot)
		log.SetFaults(standin.LogFaults{LoseResponses: true})
		is.True(w.Check(ctx) != nil)
	})
}
