package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jacinthbend/jacinthbend/internal/node"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// runCommand runs an entry instance.
type runCommand struct {
	clause   *kingpin.CmdClause
	path     *string
	logLevel *string
}

func newRunCommand(app *kingpin.Application) *runCommand {
	c := app.Command("run", "Run an entry instance.")
	return &runCommand{
		clause:   c,
		path:     c.Flag("settings", "JSON settings file.").Required().ExistingFile(),
		logLevel: c.Flag("log-level", "Overrides log_level of the settings file.").Enum("debug", "info", "warn", "error"),
	}
}

func (r *runCommand) name() string { return r.clause.FullCommand() }

func (r *runCommand) run(ctx context.Context) error {
	s, err := settings.LoadEntry(*r.path, func(s *settings.Entry) {
		if *r.logLevel != "" {
			s.LogLevel = *r.logLevel
		}
	})
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(s.LogLevel, s.Instance, s.DataCentre)
	if err != nil {
		return err
	}
	defer flush(logger)
	telemetry.TuneGC()
	return node.RunEntry(ctx, s, logger)
}
