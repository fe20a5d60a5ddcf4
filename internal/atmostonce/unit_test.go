package atmostonce_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

func keyAt(at time.Time, n uint64) string {
	var seed [32]byte
	seed[0], seed[1], seed[2] = byte(n), byte(n>>8), byte(n>>16)
	id, err := atmostonce.NewID(at, rand.NewChaCha8(seed))
	if err != nil {
		panic(err)
	}
	return id
}

// TestCheckKey guards against accepting keys whose record may already be
// deleted, and keys from the future, which would outlive their record.
func TestCheckKey(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	for _, c := range []struct {
		key  string
		want errkind.Kind
	}{
		{keyAt(now, 1), ""},
		{strings.ToUpper(keyAt(now, 1)), ""},
		{keyAt(now.Add(-time.Hour), 1), ""},
		{keyAt(now.Add(-time.Hour-time.Millisecond), 1), errkind.KeyExpired},
		{keyAt(now.Add(time.Minute), 1), ""},
		{keyAt(now.Add(time.Minute+time.Millisecond), 1), errkind.InvalidRequest},
		{uuid.NewString(), errkind.InvalidRequest},
		{"buy-1", errkind.InvalidRequest},
		{"", errkind.InvalidRequest},
	} {
		err := atmostonce.CheckKey(c.key, now, time.Hour, time.Minute)
		is.New(t).Equal(err == nil, c.want == "")
		is.New(t).True(err == nil || errkind.Is(err, c.want))
	}
}

// TestDigestSeparatesParts guards against two requests having the same digest
// because only the boundary between route and body differs.
func TestDigestSeparatesParts(t *testing.T) {
	is := is.New(t)
	is.True(atmostonce.DigestOf("POST", "/a", []byte("b")) != atmostonce.DigestOf("POST", "/ab", nil))
	is.Equal(atmostonce.DigestOf("POST", "/a", []byte("b")), atmostonce.DigestOf("POST", "/a", []byte("b")))
	big := atmostonce.Result{Status: 200, Body: make([]byte, atmostonce.MaxResultBytes+1)}.WithoutLargeBody()
	is.True(big.BodyOmitted && big.Body == nil && big.BodyDigest != "" && big.Status == 200)
}

type fixedView struct{ v *controlstate.View }

func (f fixedView) View() *controlstate.View { return f.v }
func (fixedView) MayWork() bool              { return true }

var self = record.InstanceRef{Instance: "e", Incarnation: "1"}

// singleEntryView returns a view whose only entry instance is self.
func singleEntryView() *controlstate.View {
	join := record.MemberJoin{Instance: self.Instance, Incarnation: self.Incarnation, Role: record.RoleEntry, DataCentre: "a"}
	e, _ := record.New("test", 0, join)
	v, _ := controlstate.Empty().Apply(1, e)
	return v
}

// startWriter starts a writer with one partition, for which it is the first candidate.
func startWriter(ctx context.Context, log backing.Log, seed byte, opts atmostonce.Options) *atmostonce.Writer {
	opts.Partitions = 1
	w := atmostonce.NewWriter(log, fixedView{singleEntryView()}, self, opts, rand.NewChaCha8([32]byte{seed}))
	go w.Run(ctx)
	return w
}

func newIntent(n uint64) atmostonce.IntentRequest {
	return atmostonce.IntentRequest{
		CallID:  atmostonce.CallID{Team: "t", Key: keyAt(time.Now(), n)},
		Digest:  atmostonce.DigestOf("POST", "/buy", []byte(fmt.Sprint(n))),
		Attempt: keyAt(time.Now(), n+1<<20),
	}
}

// TestStateSurvivesRetention guards against F17. With snapshots, a new writer
// knows every call of the idempotency window although the records expired.
// Without a snapshot, it answers old keys with outcome_unknown and serves new
// ones.
func TestStateSurvivesRetention(t *testing.T) {
	for _, c := range []struct {
		every time.Duration
		want  errkind.Kind
	}{{time.Second, ""}, {time.Hour, errkind.OutcomeUnknown}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			log := standin.NewLog()
			opts := atmostonce.Options{SnapshotInterval: c.every, AppendsPerSecond: 1000, MaxClockSkew: time.Second}
			w := startWriter(ctx, log, 1, opts)
			var all []atmostonce.IntentRequest
			for n := range uint64(400) {
				all = append(all, newIntent(n))
				_, err := w.Intent(ctx, all[n])
				is.NoErr(err)
			}
			finished := atmostonce.ResultRequest{CallID: all[0].CallID, Digest: all[0].Digest, Attempt: all[0].Attempt, Result: &atmostonce.Result{Status: 201}}
			_, err := w.Result(ctx, finished)
			is.NoErr(err)
			log.SetFaults(standin.LogFaults{Retain: 12})
			time.Sleep(10 * time.Second)
			_, err = w.Intent(ctx, newIntent(5000)) // Makes the log drop expired records.
			is.NoErr(err)
			newWriter := startWriter(ctx, log, 2, opts)
			for n, req := range all {
				want := c.want
				if n == 0 {
					want = "" // Its result record has not expired and is certain.
				}
				won := req.Attempt
				req.Attempt = keyAt(time.Now(), 9)
				got, err := newWriter.Intent(ctx, req)
				is.True(err == nil && want == "" || errkind.Is(err, want))
				is.True(want != "" || got.State.Attempt == won)
			}
			time.Sleep(3 * time.Second) // Past LostUntilMS, which is 2 * MaxClockSkew ahead.
			fresh := newIntent(9000)
			got, err := newWriter.Intent(ctx, fresh)
			is.NoErr(err)
			is.True(got.State.MayDispatch(fresh.Attempt))
			stop()
			synctest.Wait()
		})
	}
}

// TestBatchIsBounded guards against an append that exceeds BatchEntries, and
// against a queue that grows without limit while the log is slow.
func TestBatchIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		log := &countingLog{Log: standin.NewLog()}
		log.SetFaults(standin.LogFaults{Delay: 100 * time.Millisecond})
		w := startWriter(ctx, log, 1, atmostonce.Options{BatchEntries: 10, QueueEntries: 50})
		errs := make(chan error, 200)
		for n := range uint64(200) {
			go func() {
				_, err := w.Intent(ctx, newIntent(n))
				errs <- err
			}()
		}
		refusedCount := 0
		for range 200 {
			if err := <-errs; err != nil {
				is.True(errkind.Is(err, errkind.LogUnavailable))
				refusedCount++
			}
		}
		is.True(refusedCount > 0 && refusedCount < 200)
		is.True(log.largestAppend <= 10)
		set := metrics.NewSet()
		w.Register(set)
		is.Equal(len(set.ListMetricNames()), 7)
		stop()
		synctest.Wait()
	})
}

type countingLog struct {
	*standin.Log
	largestAppend int
}

func (l *countingLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	l.largestAppend = max(l.largestAppend, len(entries))
	return l.Log.Append(ctx, stream, entries)
}
