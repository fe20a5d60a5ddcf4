package attempt_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

var self = record.InstanceRef{Instance: "a", Incarnation: "1"}

func dispatch(n int, random *rand.ChaCha8) attempt.Dispatch {
	at := time.UnixMilli(1_800_000_000_000 + int64(n))
	id, err := atmostonce.NewID(at, random)
	if err != nil {
		panic(err)
	}
	return attempt.Dispatch{CallID: atmostonce.CallID{Team: "t", Key: id}, Attempt: id, Target: self}
}

// TestAttemptRunsOnce guards H12 and H11 at the agent, for messages in any order
// and a table much smaller than the number of attempts: an attempt runs at most
// once, and an attempt reported as fenced never runs, neither before nor after
// the report.
func TestAttemptRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.NewChaCha8([32]byte{1})
		table, err := attempt.New(self, attempt.Limits{MaxRunning: 3, MaxEnded: 4, MaxTotalResultBytes: 64})
		if err != nil {
			t.Fatal(err)
		}
		all := make([]attempt.Dispatch, 12)
		for i := range all {
			all[i] = dispatch(i, random)
		}
		runs, fenced := map[string]int{}, map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "messages") {
			d := all[rapid.IntRange(0, len(all)-1).Draw(t, "attempt")]
			switch rapid.IntRange(0, 3).Draw(t, "message") {
			case 0:
				settled := table.Settle(atmostonce.SettleRequest{CallID: d.CallID, Attempt: d.Attempt, Target: d.Target})
				fenced[d.Attempt] = fenced[d.Attempt] || settled.State == atmostonce.SettleFenced
			case 1:
				table.Finish(d.Attempt, atmostonce.Result{Body: make([]byte, 20)})
			default:
				admission, _ := table.Start(d)
				if admission == attempt.AdmissionGranted {
					runs[d.Attempt]++
				}
				fenced[d.Attempt] = fenced[d.Attempt] || admission == attempt.AdmissionTableFull || admission == attempt.AdmissionFenced
			}
			if runs[d.Attempt] > 1 || runs[d.Attempt] == 1 && fenced[d.Attempt] || table.Len() > 7 {
				t.Fatalf("%d runs, fenced %v, %d entries", runs[d.Attempt], fenced[d.Attempt], table.Len())
			}
		}
	})
}

// TestRunner guards against reporting "not run" for an attempt whose service call
// failed halfway, and against running a second attempt of the same call.
func TestRunner(t *testing.T) {
	is := is.New(t)
	random := rand.NewChaCha8([32]byte{2})
	table, err := attempt.New(self, attempt.Limits{})
	is.NoErr(err)
	r := attempt.Runner{Table: table}
	for n, c := range []struct {
		err       error
		state     atmostonce.SettleState
		secondRun errkind.Kind
	}{
		{nil, atmostonce.SettleFinished, ""},
		{errors.New("connection reset"), atmostonce.SettleUnknown, errkind.OutcomeUnknown},
		{errkind.New(errkind.UpstreamBusy, "full"), atmostonce.SettleFenced, errkind.Fenced},
	} {
		d := dispatch(n, random)
		serve := func(context.Context) (atmostonce.Result, error) { return atmostonce.Result{Status: 200}, c.err }
		_, err := r.Run(context.Background(), d, serve)
		is.Equal(err, c.err)
		is.Equal(table.Settle(atmostonce.SettleRequest{CallID: d.CallID, Attempt: d.Attempt, Target: self}).State, c.state)
		_, err = r.Run(context.Background(), d, serve)
		is.True(err == nil && c.secondRun == "" || errkind.Is(err, c.secondRun))
		other := dispatch(n+10, random)
		other.CallID = d.CallID
		if c.state != atmostonce.SettleFenced {
			_, err = r.Run(context.Background(), other, serve)
			is.True(errkind.Is(err, errkind.OutcomeUnknown)) // Second attempt of the same call.
		}
		other.Target.Incarnation = "2"
		_, err = r.Run(context.Background(), other, serve)
		is.Equal(errkind.From(err).Ran, errkind.RanUnknown) // Sent to another incarnation.
	}
}
