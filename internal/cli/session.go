package cli

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/operator"
)

// session holds the platform log and its clients for the run of one command.
type session struct {
	log       backing.Log
	client    *operator.StreamClient
	publisher *operator.Publisher
}

// open connects to the platform log and reads the control stream to its end.
func (c *Commands) open(ctx context.Context) (*session, error) {
	return c.openWithBase(ctx, 0)
}

// openWithBase is like open, but also keeps the view of version base for
// StreamClient.RetainedView. It keeps none if the client does not read that
// version, for example because it starts from a newer snapshot.
func (c *Commands) openWithBase(ctx context.Context, base backing.Offset) (*session, error) {
	log := c.options.NewLog(c.flags.logURL, c.flags.timeout)
	client := operator.NewStreamClient(log, operator.ClientSettings{
		Name: "cli", LoadSnapshot: c.options.LoadSnapshot, RetainVersion: base,
	})
	if err := client.Refresh(ctx); err != nil {
		return nil, err
	}
	return &session{log: log, client: client, publisher: operator.NewPublisher(client, client)}, nil
}
