package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (c *Commands) registerStatus(app *kingpin.Application) {
	cmd := app.Command("status", "Show the current version, the data centres and the live instances, as recorded in the control stream.")
	c.flags.addOutput(cmd)
	c.flags.addLog(cmd)
	c.add(cmd, func(ctx context.Context) (result, error) {
		s, err := c.open(ctx)
		if err != nil {
			return nil, err
		}
		return statusOf(s.client.View()), nil
	})
}

func statusOf(view *controlstate.View) status {
	s := status{
		Offset: view.Offset, Version: view.ConfigVersion, DataCentres: make(map[string]dataCentreStatus),
		Models: view.Models.Len(), Adapters: view.Adapters.Len(),
	}
	for id, dc := range view.DataCentres.All() {
		s.DataCentres[id] = dataCentreStatus{State: dc.WithDefaults().State, Region: dc.Region}
	}
	for _, m := range view.Members.All() {
		// The data centre of an instance may be missing from the configuration.
		dc := s.DataCentres[m.DataCentre]
		if m.Role == record.RoleAgent {
			dc.Agents++
		} else {
			dc.Entry++
		}
		s.DataCentres[m.DataCentre] = dc
	}
	for _, h := range view.Homes.All() {
		s.Homes += len(h.Active)
	}
	for _, suspect := range view.Suspects.All() {
		if suspect.Quarantined() {
			s.Quarantined++
		}
	}
	return s
}
