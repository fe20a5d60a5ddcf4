package managed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// Timing of the exchange of crash reports through the platform's store.
const (
	// crashReportDelay is how long after a crash an instance reports it. The requests at
	// an upstream that crashes fail within milliseconds, so that one report covers them.
	crashReportDelay = 60 * time.Millisecond
	// instancesAtFullRate is the number of entry instances up to which this delay applies.
	// With more, it grows in proportion, at most by the factor maxCrashSlowdown: a
	// quarantine must spread within the platform's shortest time of contact, 3 s.
	instancesAtFullRate = 16
	maxCrashSlowdown    = 6.0
	crashReportRetry    = 400 * time.Millisecond
	// directAfter is how long the store may take for a report before the other instances
	// get it directly. A healthy store takes 6 ms.
	directAfter = 200 * time.Millisecond
	// crashReadyWait bounds how long a starting instance waits for the reports of others
	// before it takes requests. Without the store it starts without them.
	crashReadyWait = time.Second
)

// crashReports exchanges what entry instances know of crashed upstreams. The reports are
// records in the store, one for each instance, so that they survive the instance. While the
// store does not take them, the instances send them to each other.
type crashReports struct {
	instance string
	table    *quarantine.Table
	store    crashStore
	direct   crashSender
	logger   *zap.Logger
	// entries returns the number of entry instances.
	entries func() int
	// listed is closed once the reports have been listed.
	listed     chan struct{}
	closeFirst sync.Once
}

// crashStore is the part of the platform's store that crashReports uses.
type crashStore interface {
	Put(ctx context.Context, t topicwatch.Name, key string, value []byte) (topicwatch.Position, error)
}

// crashSender sends a report to the other entry instances and returns how many have not taken
// it.
type crashSender interface {
	Send(ctx context.Context, r quarantine.Report) (missing int)
}

func newCrashReports(instance string, table *quarantine.Table, store crashStore, direct crashSender, entries func() int, logger *zap.Logger) *crashReports {
	return &crashReports{instance: instance, table: table, store: store, direct: direct, entries: entries, logger: logger, listed: make(chan struct{})}
}

// scaled returns d times the slowdown for the number of instances.
func (c *crashReports) scaled(d time.Duration) time.Duration {
	factor := float64(c.entries()) / instancesAtFullRate
	return time.Duration(min(maxCrashSlowdown, max(1, factor)) * float64(d))
}

// waitListed waits until the reports are known, for at most crashReadyWait.
func (c *crashReports) waitListed(ctx context.Context) {
	t := time.NewTimer(crashReadyWait)
	defer t.Stop()
	select {
	case <-c.listed:
	case <-t.C:
		c.logger.Warn("starting without the reports of crashed upstreams")
	case <-ctx.Done():
	}
}

// apply passes reports of other instances, and of earlier starts of this one, to the table.
// live tells that they have just been written.
func (c *crashReports) apply(t topicwatch.Name, items []topicwatch.Item, live bool) {
	if t != topicwatch.Crashes {
		return
	}
	for _, it := range items {
		var r quarantine.Report
		if it.Key == "" {
			continue
		}
		if len(it.Value) > 0 {
			if err := json.Unmarshal(it.Value, &r); err != nil {
				c.logger.Warn("crash report cannot be decoded, skipping it", zap.String("key", it.Key), zap.Int64("offset", it.Offset), telemetry.Err(err))
				continue
			}
		}
		if it.Key == c.instance {
			// What this start has published comes back here, too.
			c.table.Restore(r)
			continue
		}
		if live {
			r = r.Live()
		}
		c.table.SetReport(it.Key, r)
	}
	if n := c.table.Quarantined(); n > 0 && len(items) > 0 {
		c.logger.Info("crash reports read", zap.Int("reports", len(items)), zap.Int("quarantined", n))
	}
	c.closeFirst.Do(func() { close(c.listed) })
}

// publish writes this instance's report whenever it has changed, until ctx ends.
func (c *crashReports) publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.table.Changed():
		}
		sleep(ctx, c.scaled(crashReportDelay))
		report := c.table.Report()
		for ctx.Err() == nil {
			err := c.write(ctx, report)
			if err == nil {
				c.logger.Debug("crash report written", zap.Int64("number", report.Number))
				break
			}
			c.logger.Warn("cannot write crash report, retrying", zap.Int64("number", report.Number), telemetry.Err(err))
			sleep(ctx, crashReportRetry)
			select {
			case <-c.table.Changed():
				report = c.table.Report()
			default:
			}
		}
	}
}

// write writes a report to the store. If that fails or takes longer than directAfter, the other
// instances get it directly. It does not write before the reports are listed, since that would
// replace the report of an earlier start.
func (c *crashReports) write(ctx context.Context, report quarantine.Report) error {
	value, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode crash report")
	}
	written := make(chan error, 1)
	select {
	case <-c.listed:
		background.Go(c.logger, "write crash report", func() {
			_, err := c.store.Put(ctx, topicwatch.Crashes, c.instance, value)
			written <- err
		})
	default:
		written <- errors.New("the reports have not been listed yet")
	}
	t := time.NewTimer(directAfter)
	defer t.Stop()
	select {
	case err := <-written:
		if err == nil {
			return nil
		}
		c.sendDirectly(ctx, report)
		return err
	case <-t.C:
		c.sendDirectly(ctx, report)
	}
	return <-written
}

func (c *crashReports) sendDirectly(ctx context.Context, report quarantine.Report) {
	missing := c.direct.Send(ctx, report)
	c.logger.Info("crash report sent directly", zap.Int64("number", report.Number), zap.Int("missing", missing))
}
