package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// Commands holds the registered commands for operators.
type Commands struct {
	options  Options
	flags    flags
	handlers map[string]func(context.Context) (result, error)
}

// Register adds the commands to app. After app has parsed the arguments, which
// sets the values of the flags, call Run with the selected command.
func Register(app *kingpin.Application, options Options) *Commands {
	c := &Commands{options: options, handlers: make(map[string]func(context.Context) (result, error))}
	c.registerConfig(app)
	c.registerKeys(app)
	c.registerDataCentres(app)
	c.registerStatus(app)
	c.registerAudit(app)
	c.registerVersion(app)
	return c
}

func (c *Commands) add(cmd *kingpin.CmdClause, run func(context.Context) (result, error)) {
	c.handlers[cmd.FullCommand()] = run
}

// Handles reports whether the selected command was registered by Register.
func (c *Commands) Handles(selected string) bool {
	_, ok := c.handlers[selected]
	return ok
}

// Run runs the selected command, writes its result or error, and returns the
// exit code.
func (c *Commands) Run(ctx context.Context, selected string) ExitCode {
	run, ok := c.handlers[selected]
	if !ok {
		return ExitUsage
	}
	if c.flags.timeout > 0 {
		timeoutCtx, cancel := context.WithTimeout(ctx, c.flags.timeout)
		defer cancel()
		ctx = timeoutCtx
	}
	res, err := run(ctx)
	if err != nil {
		c.writeError(err)
		return exitCodeOf(err)
	}
	if err := c.writeResult(res); err != nil {
		c.writeError(err)
		return ExitFailed
	}
	if coded, ok := res.(exitCoder); ok {
		return coded.exitCode()
	}
	return ExitOK
}

// Main parses the arguments and runs the selected command. If c does not handle
// the command, Main returns its name and false, and the caller has to run it.
func (c *Commands) Main(ctx context.Context, app *kingpin.Application, args []string) (code ExitCode, selected string, handled bool) {
	app.Help += "\n\n" + exitHelp
	selected, err := app.Parse(args)
	if err != nil {
		c.writeUsage(app, err)
		return ExitUsage, "", true
	}
	if !c.Handles(selected) {
		return ExitOK, selected, false
	}
	return c.Run(ctx, selected), selected, true
}
