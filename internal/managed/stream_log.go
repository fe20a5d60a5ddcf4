package managed

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/streamorigin"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/platform"
)

// streamLog keeps the records of the streams that instances began in the platform's store.
type streamLog struct {
	instance string
	store    *platform.Store
}

var _ streamorigin.Log = streamLog{}

// Append implements streamorigin.Log.
func (l streamLog) Append(ctx context.Context, value []byte) error {
	_, err := l.store.Put(ctx, topicwatch.Streams, l.instance, value)
	return err
}

// Read implements streamorigin.Log.
func (l streamLog) Read(ctx context.Context, from topicwatch.Position) (topicwatch.Page, error) {
	return l.store.ReadRetained(ctx, topicwatch.Streams, from)
}
