package atmostonce_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

var (
	measureTo   = flag.String("measure", "", "write the measurement of the batching writer to this Markdown file")
	measureSeed = flag.Uint64("measure-seed", 1, "seed of the measurement's arrivals")
)

const (
	measureWarmUp  = 3 * time.Second // Uses up the burst of the append limit.
	measureFor     = 4 * time.Second
	measureService = 30 * time.Millisecond
)

// load is one measured setting: intents and results on four partitions that share
// 100 appends a second.
type load struct {
	window, latency time.Duration
	rate            int
	carried         int
	appends         int
	intents         *hdrhistogram.Histogram
}

func (l *load) run(t *testing.T) {
	l.intents = hdrhistogram.New(1, 60_000_000, 3)
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		log := standin.NewLog()
		log.SetFaults(standin.LogFaults{Delay: l.latency})
		w := atmostonce.NewWriter(log, fixedView{singleEntryView()}, self, atmostonce.Options{BatchWindow: l.window, AppendsPerSecond: 25}, rand.NewChaCha8([32]byte{1}))
		go w.Run(ctx)
		rng := rand.New(rand.NewPCG(*measureSeed, uint64(l.rate)))
		var mu sync.Mutex
		var calls sync.WaitGroup
		start := time.Now()
		before := 0
		for n := uint64(0); time.Since(start) < measureWarmUp+measureFor; n++ {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(l.rate)))
			if before == 0 && time.Since(start) >= measureWarmUp {
				before, _ = log.Counts()
			}
			calls.Go(func() {
				began, ended, ok := oneCall(ctx, w, n)
				mu.Lock()
				defer mu.Unlock()
				if at := time.Since(start); ok && at >= measureWarmUp && at < measureWarmUp+measureFor {
					l.carried++
					_ = l.intents.RecordValue(ended.Sub(began).Microseconds())
				}
			})
		}
		after, _ := log.Counts()
		l.appends = after - before
		stop()
		calls.Wait()
	})
}

// oneCall records an intent and, after the service time, its result. It measures
// the time of the intent, for which a caller waits before the dispatch.
func oneCall(ctx context.Context, w *atmostonce.Writer, n uint64) (began, ended time.Time, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req := newIntent(n)
	began = time.Now()
	_, err := w.Intent(ctx, req)
	ended = time.Now()
	if err != nil {
		return began, ended, false
	}
	time.Sleep(measureService)
	_, err = w.Result(ctx, atmostonce.ResultRequest{CallID: req.CallID, Digest: req.Digest, Attempt: req.Attempt, Result: &atmostonce.Result{Status: 200}})
	return began, ended, err == nil
}

func (l *load) row() string {
	per := func(n int) float64 { return float64(n) / measureFor.Seconds() }
	ms := func(q float64) float64 { return float64(l.intents.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("| %d | %d | %d | %.0f | %.0f | %.1f | %.1f |\n", l.window.Milliseconds(), l.latency.Milliseconds(), l.rate, per(l.carried), per(l.appends), ms(50), ms(99))
}

// TestMeasureBatch writes docs/measurements/once.md if the flag -measure is set.
// Otherwise it runs one setting, so that a broken measurement is noticed.
func TestMeasureBatch(t *testing.T) {
	if *measureTo == "" {
		l := load{window: 20 * time.Millisecond, latency: 5 * time.Millisecond, rate: 100}
		l.run(t)
		is.New(t).True(l.carried > 0 && l.appends > 0)
		return
	}
	var out strings.Builder
	fmt.Fprintf(&out, measureHead, *measureSeed)
	for _, latency := range []int{5, 20} {
		for _, window := range []int{5, 10, 20, 50, 100} {
			for _, rate := range []int{50, 1000, 10_000, 16_000} {
				l := load{window: time.Duration(window) * time.Millisecond, latency: time.Duration(latency) * time.Millisecond, rate: rate}
				l.run(t)
				out.WriteString(l.row())
			}
		}
	}
	is.New(t).NoErr(os.WriteFile(*measureTo, []byte(out.String()), 0o644))
}

const measureHead = "# Batching writer of non-repeatable calls\n\n" +
	"Command, in the root of the repository:\n\n" +
	"```\ngo test ./internal/atmostonce -run TestMeasureBatch -measure $PWD/docs/measurements/once.md -measure-seed %d\n```\n\n" +
	"Virtual time, 4 partitions with 25 appends a second each (100 in all), batches of at most 256 entries.\n" +
	"Calls arrive at random at the offered rate; each appends an intent and, 30 ms after the answer, a result.\n" +
	"The log latency holds for each append and each read-back. The times are those of the intent, measured\n" +
	"over 4 s after a warm-up of 3 s. A call counts as carried when its result is recorded within 5 s of its start.\n\n" +
	"| window, ms | log latency, ms | offered calls/s | carried calls/s | appends/s | intent p50, ms | intent p99, ms |\n" +
	"| --- | --- | --- | --- | --- | --- | --- |\n"
