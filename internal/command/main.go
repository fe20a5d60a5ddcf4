// Package command implements the jacinthbend and jacinthbend-agent commands.
package command

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/backing/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/cli"
	"github.com/jacinthbend/jacinthbend/internal/managed"
	"github.com/jacinthbend/jacinthbend/internal/node"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/snapshot"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// version is set by the linker in release builds.
var version = "dev"

// Main runs the jacinthbend command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signalContext()
	defer stop()
	var reload <-chan os.Signal
	if isServe(args) {
		reload = reloadSignal()
	} else {
		var stopHangup context.CancelFunc
		ctx, stopHangup = hangupContext(ctx)
		defer stopHangup()
	}
	app := kingpin.New("jacinthbend", "Serving system for rarely used models.")
	app.UsageWriter(errOut).ErrorWriter(errOut)
	run := newRunCommand(app)
	dev := newDevCommand(app, out)
	serve := newEntryServe(app)
	operatorCommands := cli.Register(app, cli.Options{
		NewLog: newLog, LoadSnapshot: snapshot.Newest, Stdin: os.Stdin, Stdout: out, Stderr: errOut, Version: version,
	})
	code, name, handled := operatorCommands.Main(ctx, app, args)
	if handled {
		return int(code)
	}
	var err error
	switch name {
	case run.name():
		err = run.run(ctx)
	case dev.name():
		err = dev.run(ctx)
	case serve.name():
		err = serve.run(ctx, reload, managed.RunEntry)
	}
	return report(errOut, "jacinthbend", err)
}

// newLog returns a client of the platform log at a base URL of the form
// http://IP:port.
func newLog(base string, timeout time.Duration) backing.Log {
	addr := base
	if u, err := url.Parse(base); err == nil && u.Host != "" {
		addr = u.Host
	}
	log, err := httpapi.NewLog(addr, timeout)
	if err != nil {
		return unreachableLog{err}
	}
	return log
}

// AgentMain runs the jacinthbend-agent command line and returns its exit code.
func AgentMain(args []string, errOut io.Writer) int {
	ctx, stop := signalContext()
	defer stop()
	var reload <-chan os.Signal
	if isServe(args) {
		reload = reloadSignal()
	} else {
		var stopHangup context.CancelFunc
		ctx, stopHangup = hangupContext(ctx)
		defer stopHangup()
	}
	app := kingpin.New("jacinthbend-agent", "Agent of jacinthbend that runs beside one upstream.")
	app.UsageWriter(errOut).ErrorWriter(errOut)
	run := app.Command("run", "Run the agent beside one upstream.").Default()
	path := run.Flag("settings", "JSON settings file.").Required().ExistingFile()
	serve := newAgentServe(app)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "jacinthbend-agent: %v (see jacinthbend-agent --help)\n", err)
		return int(cli.ExitUsage)
	}
	if name == serve.name() {
		err = serve.run(ctx, reload, managed.RunAgent)
	} else {
		err = runAgent(ctx, *path)
	}
	return report(errOut, "jacinthbend-agent", err)
}

func runAgent(ctx context.Context, path string) error {
	s, err := settings.LoadAgent(path, nil)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(s.LogLevel, s.Instance, s.DataCentre)
	if err != nil {
		return err
	}
	defer flush(logger)
	telemetry.TuneGC()
	return node.RunAgent(ctx, s, logger)
}

func flush(logger *zap.Logger) { _ = logger.Sync() }

func report(errOut io.Writer, name string, err error) int {
	if err == nil {
		return int(cli.ExitOK)
	}
	fmt.Fprintf(errOut, "%s: %v\n", name, err)
	return int(cli.ExitFailed)
}
