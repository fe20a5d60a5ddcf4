package cli

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// session is the platform log as one command sees it.
type session struct {
	log       platform.Log
	client    *operator.StreamClient
	publisher *operator.Publisher
}

// open reads the control stream to its end.
func (c *Commands) open(ctx context.Context) (*session, error) {
	return c.openFrom(ctx, 0)
}

// openFrom also remembers the document of a version, where the stream still
// reaches back to it.
func (c *Commands) openFrom(ctx context.Context, version platform.Offset) (*session, error) {
	log := c.options.NewLog(c.flags.logURL, c.flags.timeout)
	client := operator.NewStreamClient(log, operator.ClientSettings{
		Name: "cli", LoadSnapshot: c.options.LoadSnapshot, RetainVersion: version,
	})
	if err := client.Refresh(ctx); err != nil {
		return nil, err
	}
	return &session{log: log, client: client, publisher: operator.NewPublisher(client, client)}, nil
}
