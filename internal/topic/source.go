package topic

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Source gives the records of a topic.
type Source interface {
	// List returns the newest record of every key.
	List(ctx context.Context, t Name) (Page, error)
	// Read returns the records from an offset on. Without any it waits up to
	// wait. It returns ErrExpired when records from there on are gone.
	Read(ctx context.Context, t Name, from int64, wait time.Duration) (Page, error)
}

// ErrExpired means that the topic has to be listed anew.
var ErrExpired = errors.New("records of the topic have expired")

// Decoder decodes records. A record of another writer is an error and skipped.
type Decoder interface {
	// Operator returns a configuration, a data centre that is out, or neither.
	Operator(it Item) (*fleet.Config, string, error)
	Upstream(it Item) (*fleet.Upstream, error)
	Member(it Item) (fleet.Member, error)
}
