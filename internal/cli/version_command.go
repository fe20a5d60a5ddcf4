package cli

import (
	"context"
	"runtime"

	"github.com/alecthomas/kingpin/v2"
)

func (c *Commands) registerVersion(app *kingpin.Application) {
	cmd := app.Command("version", "Print the version of this program.")
	c.flags.addOutput(cmd)
	c.add(cmd, func(context.Context) (result, error) {
		return buildVersion{Version: c.options.Version, Go: runtime.Version()}, nil
	})
}
