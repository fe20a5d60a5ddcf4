package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/config"
)

func (c *Commands) registerDataCentres(app *kingpin.Application) {
	group := app.Command("datacentre", "Take data centres out of service and back in.")
	c.flags.addOutput(group)
	c.registerDataCentre(group, "out", config.DataCentreOut, "Take a data centre out of service. It receives no new work after a few seconds; running work finishes.")
	c.registerDataCentre(group, "in", config.DataCentreIn, "Return a data centre to service.")
}

func (c *Commands) registerDataCentre(group *kingpin.CmdClause, name string, state config.DataCentreState, help string) {
	cmd := group.Command(name, help)
	c.flags.addLog(cmd)
	c.flags.addAuthor(cmd)
	id := cmd.Arg("id", "Id of the data centre.").Required().String()
	c.add(cmd, func(ctx context.Context) (result, error) {
		s, err := c.open(ctx)
		if err != nil {
			return nil, err
		}
		got, err := s.publisher.SetDataCentreState(ctx, *id, state, c.flags.reason, c.flags.author)
		return publishResult{got}, err
	})
}
