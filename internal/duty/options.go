package duty

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/internal/usage"
)

// Collector collects the counts of a window from all instances.
type Collector interface {
	// Collect returns the counts. It calls pending if it still waits for an instance some time after
	// the end of the window.
	Collect(ctx context.Context, req usage.Request, pending func(context.Context)) usage.Result
}

// Notifier tells another entry instance what the holder of the duty has done.
type Notifier interface {
	Usage(ctx context.Context, name string, req usage.Request) (usage.Answer, error)
}

// Options are the dependencies of a reporter.
type Options struct {
	// Self is the name of this instance and Start a random number of this run of it.
	Self  string
	Start uint64
	// FirstStart tells that no instance of the system ran before on this platform.
	FirstStart bool
	// Usage tells that usage reports are a duty. Without it, windows are recorded without counts:
	// they show that the holder is alive.
	Usage     bool
	Bounds    Bounds
	Clock     *usage.Clock
	Windows   usage.Windows
	Log       Log
	Platform  Platform
	Collector Collector
	Notifier  Notifier
	// Orders returns the orders of servers that are wanted, from the requests that run by service and
	// data centre. last returns the number ordered last, 0 if there is none. It is nil if these orders
	// are no duty.
	Orders func(now time.Time, busy map[string]map[string]float64, last func(service, dataCentre string) int) []Order
	// Fence returns the fencing token of a claim at a position of the log.
	Fence  func(topicwatch.Position) int64
	Stats  *Stats
	Logger *zap.Logger
}
