package topicwatch

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Source reads the records of topics.
type Source interface {
	// List returns the newest record of every key.
	List(ctx context.Context, t Name) (Page, error)
	// Read returns the records from position from on. If there are none, it waits up
	// to wait for one. It returns ErrExpired if the store does not have some of them. If the
	// store has come back from a copy since, the page has another era, and its records say
	// nothing.
	Read(ctx context.Context, t Name, from Position, wait time.Duration) (Page, error)
}

// ErrExpired means that the topic has to be listed again.
var ErrExpired = errors.New("topic records have expired")

// ErrEndMoved means that a record was not appended, because the log did not end where its writer
// expected.
var ErrEndMoved = errors.New("the log does not end where the record was to be written")

// Decoder decodes records. It returns an error for a record that it does not
// understand, such as one of another writer; the follower skips that record.
type Decoder interface {
	// Operator returns a configuration, the name of an evacuated data centre, or
	// neither.
	Operator(it Item) (*fleet.Config, string, error)
	Upstream(it Item) (*fleet.Upstream, error)
	Member(it Item) (fleet.Member, error)
}
