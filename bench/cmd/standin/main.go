// Command standin runs one stand-in as a process: the platform, a model
// engine or a plain service. It serves measurements and end-to-end tests.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/internal/platform/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// runner is a stand-in with its server.
type runner interface {
	Run() error
	Shutdown(ctx context.Context) error
}

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform and the upstreams.")
	listen := app.Flag("listen", "Address to listen on, IP:port.").Required().String()
	platform := app.Command("platform", "Log, instance list and weight store.")
	rate := platform.Flag("loads-per-s", "Loads a second of the weight store.").Default("1.6").Float64()
	loads := platform.Flag("loads", "Loads at once of the weight store.").Default("4").Int()
	transfer := platform.Flag("transfer", "Time of one transfer.").Default("300ms").Duration()
	engine := app.Command("engine", "A model engine.")
	memory := engine.Flag("memory-mib", "Model memory in MiB.").Default("16384").Int64()
	interval := engine.Flag("token-interval", "Time between tokens.").Default("32ms").Duration()
	weights := engine.Flag("weights", "Address of the weight store; empty loads at once.").String()
	checks := engine.Flag("checks-fencing", "Refuse orders with an old fencing number.").Bool()
	marker := engine.Flag("crash-marker", "Crash when a body contains this text.").String()
	service := app.Command("service", "A plain service.")
	delay := service.Flag("delay", "Time of one call.").Default("1ms").Duration()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	ln, err := net.Listen("tcp", *listen)
	app.FatalIfError(err, "listen")
	var r runner
	switch command {
	case platform.FullCommand():
		r = standin.NewPlatform(ln, standin.NewWeightStore(*rate, *loads, *transfer))
	case engine.FullCommand():
		o := standin.EngineOptions{MemoryMiB: *memory, TokenInterval: *interval, ChecksFencing: *checks, CrashMarker: *marker}
		if *weights != "" {
			o.Weights, err = httpapi.NewWeights(*weights, time.Minute)
			app.FatalIfError(err, "weight store")
		}
		r = standin.NewEngine(ln, o)
	case service.FullCommand():
		r = standin.NewService(ln, *delay)
	}
	app.FatalIfError(serve(r), "serve")
}

func serve(r runner) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- r.Run() }()
	select {
	case err := <-done:
		return fmt.Errorf("server ended: %w", err)
	case <-ctx.Done():
		return r.Shutdown(context.Background())
	}
}
