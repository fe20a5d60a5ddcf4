// Command standin runs a fake of the platform, of a model engine or of a plain service
// as a process. Measurements and end-to-end tests use it.
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

	"github.com/jacinthbend/jacinthbend/internal/backing/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// runner is a fake with its HTTP server.
type runner interface {
	Run() error
	Shutdown(ctx context.Context) error
}

func main() {
	app := kingpin.New("standin", "Fakes of the platform and the upstreams.")
	listen := app.Flag("listen", "Address to listen on, IP:port.").Required().String()
	platform := app.Command("platform", "Log, instance list and weight store.")
	rate := platform.Flag("loads-per-s", "Loads that the weight store starts a second.").Default("1.6").Float64()
	loads := platform.Flag("loads", "Loads that the weight store runs concurrently.").Default("4").Int()
	transfer := platform.Flag("transfer", "Duration of one transfer.").Default("300ms").Duration()
	engine := app.Command("engine", "A model engine.")
	memory := engine.Flag("memory-mib", "Model memory in MiB.").Default("16384").Int64()
	interval := engine.Flag("token-interval", "Time between tokens.").Default("32ms").Duration()
	weights := engine.Flag("weights", "Address of the weight store; empty loads without delay.").String()
	checks := engine.Flag("checks-fencing", "Refuse orders with a lower fencing number than seen before.").Bool()
	marker := engine.Flag("crash-marker", "Crash when a body contains this text.").String()
	service := app.Command("service", "A plain service.")
	delay := service.Flag("delay", "Duration of one call.").Default("1ms").Duration()
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
			o.Weights, err = httpapi.NewWeightStore(*weights, time.Minute)
			app.FatalIfError(err, "connect to the weight store")
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
		return fmt.Errorf("server stopped unexpectedly: %w", err)
	case <-ctx.Done():
		return r.Shutdown(context.Background())
	}
}
