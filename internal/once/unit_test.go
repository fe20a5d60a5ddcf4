package once_test

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

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

func keyAt(at time.Time, n uint64) string {
	var seed [32]byte
	seed[0], seed[1], seed[2] = byte(n), byte(n>>8), byte(n>>16)
	id, err := once.NewID(at, rand.NewChaCha8(seed))
	if err != nil {
		panic(err)
	}
	return id
}

// TestCheckKey guards against keys whose record may be gone already, and
// against keys that would outlive their record.
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
		err := once.CheckKey(c.key, now, time.Hour, time.Minute)
		is.New(t).Equal(err == nil, c.want == "")
		is.New(t).True(err == nil || errkind.Is(err, c.want))
	}
}

// TestDigestSeparatesParts guards against two requests that share a digest
// because the boundary between route and body moved.
func TestDigestSeparatesParts(t *testing.T) {
	is := is.New(t)
	is.True(once.DigestOf("POST", "/a", []byte("b")) != once.DigestOf("POST", "/ab", nil))
	is.Equal(once.DigestOf("POST", "/a", []byte("b")), once.DigestOf("POST", "/a", []byte("b")))
	big := once.Result{Status: 200, Body: make([]byte, once.MaxResultBytes+1)}.Kept()
	is.True(big.Omitted && big.Body == nil && big.BodyDigest != "" && big.Status == 200)
}

type fixedView struct{ v *fold.View }

func (f fixedView) View() *fold.View { return f.v }
func (fixedView) MayWork() bool      { return true }

var self = record.InstanceRef{Instance: "e", Incarnation: "1"}

// newWorldView returns a view whose only entry instance is self.
func newWorldView() *fold.View {
	join := record.MemberJoin{Instance: self.Instance, Incarnation: self.Incarnation, Role: record.RoleEntry, DataCentre: "a"}
	e, _ := record.New("test", 0, join)
	v, _ := fold.Empty().Apply(1, e)
	return v
}

// single starts a writer that is the first candidate of one partition.
func single(ctx context.Context, log platform.Log, seed byte, opts once.Options) *once.Writer {
	opts.Partitions = 1
	w := once.NewWriter(log, fixedView{newWorldView()}, self, opts, rand.NewChaCha8([32]byte{seed}))
	go w.Run(ctx)
	return w
}

func intentFor(n uint64) once.IntentRequest {
	return once.IntentRequest{
		Identity: once.Identity{Team: "t", Key: keyAt(time.Now(), n)},
		Digest:   once.DigestOf("POST", "/buy", []byte(fmt.Sprint(n))),
		Attempt:  keyAt(time.Now(), n+1<<20),
	}
}

// TestStateSurvivesRetention guards against F17: with snapshots a new writer
// knows every identity of the window although its records expired; without one
// it refuses old keys as outcome_unknown and serves new ones.
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
			opts := once.Options{SnapshotEvery: c.every, AppendsPerS: 1000, Skew: time.Second}
			w := single(ctx, log, 1, opts)
			var all []once.IntentRequest
			for n := range uint64(400) {
				all = append(all, intentFor(n))
				_, err := w.Intent(ctx, all[n])
				is.NoErr(err)
			}
			finished := once.ResultRequest{Identity: all[0].Identity, Digest: all[0].Digest, Attempt: all[0].Attempt, Result: &once.Result{Status: 201}}
			_, err := w.Result(ctx, finished)
			is.NoErr(err)
			log.SetFaults(standin.LogFaults{Retain: 12})
			time.Sleep(10 * time.Second)
			_, err = w.Intent(ctx, intentFor(5000)) // Lets the log trim.
			is.NoErr(err)
			second := single(ctx, log, 2, opts)
			for n, req := range all {
				want := c.want
				if n == 0 {
					want = "" // Its result is still kept and is certain.
				}
				won := req.Attempt
				req.Attempt = keyAt(time.Now(), 9)
				got, err := second.Intent(ctx, req)
				is.True(err == nil && want == "" || errkind.Is(err, want))
				is.True(want != "" || got.State.Attempt == won)
			}
			time.Sleep(3 * time.Second) // Past the blind time, which is two skews.
			fresh := intentFor(9000)
			got, err := second.Intent(ctx, fresh)
			is.NoErr(err)
			is.True(got.State.Won(fresh.Attempt))
			stop()
			synctest.Wait()
		})
	}
}

// TestBatchIsBounded guards against an append without bounds, and against a
// queue that grows while the log is slow.
func TestBatchIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		log := &countingLog{Log: standin.NewLog()}
		log.SetFaults(standin.LogFaults{Delay: 100 * time.Millisecond})
		w := single(ctx, log, 1, once.Options{BatchEntries: 10, QueueEntries: 50})
		refused := make(chan error, 200)
		for n := range uint64(200) {
			go func() {
				_, err := w.Intent(ctx, intentFor(n))
				refused <- err
			}()
		}
		full := 0
		for range 200 {
			if err := <-refused; err != nil {
				is.True(errkind.Is(err, errkind.LogUnavailable))
				full++
			}
		}
		is.True(full > 0 && full < 200)
		is.True(log.most <= 10)
		set := metrics.NewSet()
		w.Register(set)
		is.Equal(len(set.ListMetricNames()), 7)
		stop()
		synctest.Wait()
	})
}

type countingLog struct {
	*standin.Log
	most int
}

func (l *countingLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (platform.Offset, error) {
	l.most = max(l.most, len(entries))
	return l.Log.Append(ctx, stream, entries)
}
