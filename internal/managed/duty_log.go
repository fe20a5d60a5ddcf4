package managed

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/duty"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/platform"
)

// dutyLog keeps claims and reports in the platform's store.
type dutyLog struct {
	store *platform.Store
}

var _ duty.Log = dutyLog{}

// Append implements duty.Log.
func (l dutyLog) Append(ctx context.Context, key string, value []byte, at int64) (topicwatch.Position, error) {
	return l.store.PutAt(ctx, topicwatch.Duties, key, value, at)
}

// List implements duty.Log.
func (l dutyLog) List(ctx context.Context) (topicwatch.Page, error) {
	return l.store.List(ctx, topicwatch.Duties)
}

// Read implements duty.Log.
func (l dutyLog) Read(ctx context.Context, from topicwatch.Position) (topicwatch.Page, error) {
	return l.store.Read(ctx, topicwatch.Duties, from, 0)
}
