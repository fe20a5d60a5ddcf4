package command

import (
	"context"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/managed"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// serveCommand runs a role on a platform that starts the processes.
type serveCommand struct {
	clause   *kingpin.CmdClause
	path     *string
	logLevel *string
}

func newServeCommand(app *kingpin.Application, help string) *serveCommand {
	c := app.Command("serve", help)
	return &serveCommand{
		clause:   c,
		path:     c.Flag("settings", "JSON settings file.").Required().ExistingFile(),
		logLevel: c.Flag("log-level", "Overrides log_level of the settings file.").Enum("debug", "info", "warn", "error"),
	}
}

func (s *serveCommand) name() string { return s.clause.FullCommand() }

// memoryShare of a process's limit is left to the collector; the rest covers
// stacks and bytes that the kernel holds.
const memoryShare = 0.7

func (s *serveCommand) load() (settings.Managed, error) {
	return settings.LoadManaged(*s.path, func(m *settings.Managed) {
		if *s.logLevel != "" {
			m.LogLevel = *s.logLevel
		}
	})
}

func (s *serveCommand) run(ctx context.Context, role func(context.Context, *managed.Process) error) error {
	set, err := s.load()
	if err != nil {
		return err
	}
	logger, level, err := telemetry.NewLeveledLogger(set.LogLevel, set.Instance, set.DataCentre, "stdout")
	if err != nil {
		return err
	}
	defer flush(logger)
	telemetry.LimitMemory()
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB) * (1 << 20)))
	}
	return role(ctx, &managed.Process{Settings: set, Logger: logger, Level: level, LoadSettings: s.load})
}

func newEntryServe(app *kingpin.Application) *serveCommand {
	return newServeCommand(app, "Run an entry instance on a platform that gives it its addresses.")
}

func newAgentServe(app *kingpin.Application) *serveCommand {
	return newServeCommand(app, "Run the agent beside a model engine on a platform that gives it its addresses.")
}
