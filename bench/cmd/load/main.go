// Command load sends streamed requests through an entry instance, or directly to an
// engine, and prints one line of results.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/bench/load"
)

func main() {
	app := kingpin.New("load", "Measures streamed requests.")
	var o load.Options
	app.Flag("addr", "Target, IP:port.").Required().StringVar(&o.Addr)
	app.Flag("key", "Team key; empty for an engine.").StringVar(&o.Key)
	app.Flag("model", "Model or model:adapter.").Required().StringVar(&o.Model)
	app.Flag("streams", "Concurrent callers.").Default("16").IntVar(&o.Concurrency)
	app.Flag("tokens", "Tokens per answer.").Default("200").IntVar(&o.MaxTokens)
	app.Flag("duration", "Length of the run.").Default("10s").DurationVar(&o.Duration)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	r, err := load.Run(context.Background(), o)
	app.FatalIfError(err, "run")
	fmt.Printf("requests %d failures %d tokens/s %.0f | first token us p50 %d p95 %d p99 %d | gap us p50 %d p95 %d p99 %d\n",
		r.Requests, r.Failures, float64(r.Tokens)/r.Elapsed.Seconds(),
		r.FirstToken.ValueAtQuantile(50), r.FirstToken.ValueAtQuantile(95), r.FirstToken.ValueAtQuantile(99),
		r.InterToken.ValueAtQuantile(50), r.InterToken.ValueAtQuantile(95), r.InterToken.ValueAtQuantile(99))
}
