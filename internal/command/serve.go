package command

import (
	"context"
	"io"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/managed"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/pkg/errors"
)

// serveCommand runs an entry instance or an agent that the platform starts. The
// platform also assigns its addresses.
type serveCommand struct {
	clause   *kingpin.CmdClause
	path     *string
	logLevel *string
}

func newServeCommand(app *kingpin.Application, help string) *serveCommand {
	c := app.Command("serve", help)
	return &serveCommand{
		clause:   c,
		path:     c.Flag("settings", "JSON settings file.").Required().String(),
		logLevel: c.Flag("log-level", "Overrides log_level of the settings file.").Enum("debug", "info", "warn", "error"),
	}
}

func (s *serveCommand) name() string { return s.clause.FullCommand() }

// runtimeMemoryShare is the soft memory limit of the Go runtime as a fraction of
// the memory limit of the process. The rest is for memory that the runtime does not
// count, such as thread stacks and memory that the kernel holds for the process.
const runtimeMemoryShare = 0.7

func (s *serveCommand) load() (settings.Managed, error) {
	return settings.LoadManaged(*s.path, func(m *settings.Managed) {
		if *s.logLevel != "" {
			m.LogLevel = *s.logLevel
		}
	})
}

const (
	// settingsWait is how long a start waits for settings that are missing or cut off, since the
	// platform may be writing the file.
	settingsWait         = time.Second
	settingsPollInterval = 50 * time.Millisecond
)

// loadFirst reads the settings at the start, when there are none yet to go on with.
func (s *serveCommand) loadFirst(ctx context.Context) (settings.Managed, error) {
	for end := time.Now().Add(settingsWait); ; {
		loaded, err := s.load()
		incomplete := errors.Is(err, fs.ErrNotExist) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if !incomplete || time.Now().After(end) {
			return loaded, err
		}
		select {
		case <-ctx.Done():
			return loaded, err
		case <-time.After(settingsPollInterval):
		}
	}
}

// run runs a role. A value from reload tells that the settings may have changed.
func (s *serveCommand) run(ctx context.Context, reload <-chan os.Signal, role func(context.Context, *managed.Process) error) error {
	loaded, err := s.loadFirst(ctx)
	if err != nil {
		return err
	}
	logger, level, err := telemetry.NewLeveledLogger(loaded.LogLevel, loaded.Instance, loaded.DataCentre, "stdout")
	if err != nil {
		return err
	}
	defer flush(logger)
	telemetry.TuneGC()
	if loaded.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(loaded.MemoryMB) * (1 << 20)))
	}
	return role(ctx, &managed.Process{Settings: loaded, Logger: logger, Level: level, LoadSettings: s.load, Reload: reload})
}

func newEntryServe(app *kingpin.Application) *serveCommand {
	return newServeCommand(app, "Run an entry instance on a platform that assigns its addresses.")
}

func newAgentServe(app *kingpin.Application) *serveCommand {
	return newServeCommand(app, "Run the agent beside a model engine on a platform that assigns its addresses.")
}

// isServe reports whether args run a role that the platform starts. It tells so before the arguments
// are parsed, since signals may arrive by then.
func isServe(args []string) bool { return len(args) > 0 && args[0] == "serve" }
