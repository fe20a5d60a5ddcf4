package command

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/dev"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// devCommand runs a demonstration fleet in this process.
type devCommand struct {
	clause *kingpin.CmdClause
	once   *bool
	out    io.Writer
}

func newDevCommand(app *kingpin.Application, out io.Writer) *devCommand {
	c := app.Command("dev", "Run a demonstration fleet in one process, with stand-ins for the platform and the engines.")
	return &devCommand{
		clause: c,
		once:   c.Flag("once", "Send one streamed request, print the answer and exit.").Bool(),
		out:    out,
	}
}

func (d *devCommand) name() string { return d.clause.FullCommand() }

func (d *devCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logger, err := telemetry.NewLogger("warn", "dev", "local")
	if err != nil {
		return err
	}
	defer flush(logger)
	fleet, err := dev.Start(ctx, logger)
	if err != nil {
		return err
	}
	if *d.once {
		return d.runOnce(ctx, cancel, fleet)
	}
	fmt.Fprintf(d.out, "ready; try:\n  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"prompt\":\"hello\",\"stream\":true}'\n",
		fleet.CallerAddr, fleet.Key, fleet.Model)
	fmt.Fprintf(d.out, "console: http://%s/console (token %s); platform log: http://%s\n", fleet.OperatorAddr, fleet.OperatorToken, fleet.LogAddr)
	return errors.Wrap(fleet.Wait(), "run the demonstration fleet")
}

func (d *devCommand) runOnce(ctx context.Context, cancel context.CancelFunc, fleet *dev.Fleet) error {
	if err := fleet.SendRequest(ctx, d.out); err != nil {
		return err
	}
	cancel()
	return errors.Wrap(fleet.Wait(), "stop the demonstration fleet")
}
