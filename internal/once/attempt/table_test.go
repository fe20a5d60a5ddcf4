package attempt_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

var self = record.InstanceRef{Instance: "a", Incarnation: "1"}

func dispatch(n int, random *rand.ChaCha8) attempt.Dispatch {
	at := time.UnixMilli(1_800_000_000_000 + int64(n))
	id, err := once.NewID(at, random)
	if err != nil {
		panic(err)
	}
	return attempt.Dispatch{Identity: once.Identity{Team: "t", Key: id}, Attempt: id, Target: self}
}

// TestAttemptRunsOnce guards H12 and H11 at the agent in any order of messages
// and with a table far smaller than the number of attempts: an attempt runs at
// most once, and one called fenced never runs, before or after.
func TestAttemptRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.NewChaCha8([32]byte{1})
		table, err := attempt.New(self, attempt.Limits{Running: 3, Ended: 4, ResultBytes: 64})
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
				settled := table.Settle(once.SettleRequest{Identity: d.Identity, Attempt: d.Attempt, Target: d.Target})
				fenced[d.Attempt] = fenced[d.Attempt] || settled.State == once.SettleFenced
			case 1:
				table.Finish(d.Attempt, once.Result{Body: make([]byte, 20)})
			default:
				verdict, _ := table.Start(d)
				if verdict == attempt.VerdictRun {
					runs[d.Attempt]++
				}
				fenced[d.Attempt] = fenced[d.Attempt] || verdict == attempt.VerdictFull || verdict == attempt.VerdictFenced
			}
			if runs[d.Attempt] > 1 || runs[d.Attempt] == 1 && fenced[d.Attempt] || table.Len() > 7 {
				t.Fatalf("%d runs, fenced %v, %d entries", runs[d.Attempt], fenced[d.Attempt], table.Len())
			}
		}
	})
}

// TestRunner guards against a refusal that claims "not run" for an attempt
// whose service call broke, and against a second run of the same identity.
func TestRunner(t *testing.T) {
	is := is.New(t)
	random := rand.NewChaCha8([32]byte{2})
	table, err := attempt.New(self, attempt.Limits{})
	is.NoErr(err)
	r := attempt.Runner{Table: table}
	for n, c := range []struct {
		err   error
		state once.SettleState
		again errkind.Kind
	}{
		{nil, once.SettleFinished, ""},
		{errors.New("connection reset"), once.SettleUnknown, errkind.OutcomeUnknown},
		{errkind.New(errkind.UpstreamBusy, "full"), once.SettleFenced, errkind.Fenced},
	} {
		d := dispatch(n, random)
		serve := func(context.Context) (once.Result, error) { return once.Result{Status: 200}, c.err }
		_, err := r.Run(context.Background(), d, serve)
		is.Equal(err, c.err)
		is.Equal(table.Settle(once.SettleRequest{Identity: d.Identity, Attempt: d.Attempt, Target: self}).State, c.state)
		_, err = r.Run(context.Background(), d, serve)
		is.True(err == nil && c.again == "" || errkind.Is(err, c.again))
		other := dispatch(n+10, random)
		other.Identity = d.Identity
		if c.state != once.SettleFenced {
			_, err = r.Run(context.Background(), other, serve)
			is.True(errkind.Is(err, errkind.OutcomeUnknown)) // Same identity, second attempt.
		}
		other.Target.Incarnation = "2"
		_, err = r.Run(context.Background(), other, serve)
		is.Equal(errkind.From(err).Ran, errkind.RanUnknown) // Sent to another incarnation.
	}
}
