package managed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// Timing of the exchange of crash reports through the platform's store.
const (
	// crashReportDelay is how long after a crash an instance reports it. The requests at
	// an upstream that crashes fail within milliseconds, so that one report covers them.
	crashReportDelay = 60 * time.Millisecond
	// crashReadWait is how long a read waits for reports of others, below the store's
	// limit of 30 s. Crashes are rare, so that a long wait saves calls.
	crashReadWait = 25 * time.Second
	// crashReadInterval is the minimum time between the starts of two reads. All instances
	// may have a report on one crash, and each report ends the waiting reads of all others.
	crashReadInterval = 150 * time.Millisecond
	// instancesAtFullRate is the number of entry instances up to which these two apply.
	// With more, they grow in proportion, at most by the factor maxCrashSlowdown: a
	// quarantine must spread within the platform's shortest time of contact, 3 s.
	instancesAtFullRate = 16
	maxCrashSlowdown    = 6.0
	// crashCatchUpInterval is how often reports are read in addition while something is
	// about to be quarantined or was lately. A connection that has gone silent blocks a
	// waiting read for crashReadWait.
	crashCatchUpInterval = time.Second
	crashReadRetry       = 400 * time.Millisecond
	// crashReadyWait bounds how long a starting instance waits for the reports of others
	// before it takes requests. Without the store it starts without them.
	crashReadyWait = time.Second
)

// crashReports exchanges what entry instances know of crashed upstreams. The reports are
// records in the store, one for each instance, so that they survive the instance.
type crashReports struct {
	instance string
	table    *quarantine.Table
	store    crashStore
	logger   *zap.Logger
	// entries returns the number of entry instances.
	entries func() int
	// listed is closed once the reports have been listed.
	listed chan struct{}

	mu sync.Mutex
	// next is the offset of the first record that has not been read, and readAt when the
	// store last answered a read.
	next   int64
	readAt time.Time
}

// crashStore is the part of the platform's store that crashReports uses.
type crashStore interface {
	topicwatch.Source
	Put(ctx context.Context, t topicwatch.Name, key string, value []byte) (int64, error)
}

func newCrashReports(instance string, table *quarantine.Table, store crashStore, entries func() int, logger *zap.Logger) *crashReports {
	return &crashReports{instance: instance, table: table, store: store, entries: entries, logger: logger, listed: make(chan struct{})}
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

// follow reads the reports until ctx ends.
func (c *crashReports) follow(ctx context.Context) {
	failing, listed := false, false
	for ctx.Err() == nil {
		var err error
		start := time.Now()
		if !listed {
			err = c.list(ctx)
		} else {
			err = c.read(ctx, crashReadWait)
		}
		if err == nil && !listed {
			listed = true
			close(c.listed)
		}
		if err != nil && ctx.Err() == nil {
			if !failing {
				c.logger.Warn("crash reports cannot be read, retrying", telemetry.Err(err))
			}
			sleep(ctx, crashReadRetry)
		}
		failing = err != nil
		sleep(ctx, max(0, c.scaled(crashReadInterval)-time.Since(start)))
	}
}

// catchUp reads the reports at short intervals while it matters.
func (c *crashReports) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, crashCatchUpInterval)
		if c.table.NearThreshold() {
			c.readNow(ctx)
		}
	}
}

// readNow reads the reports, unless the store has just answered a read.
func (c *crashReports) readNow(ctx context.Context) {
	c.mu.Lock()
	current := time.Since(c.readAt) < crashCatchUpInterval
	c.mu.Unlock()
	if current {
		return
	}
	if err := c.read(ctx, 0); err != nil && ctx.Err() == nil {
		c.logger.Debug("crash reports cannot be read", telemetry.Err(err))
	}
}

func (c *crashReports) list(ctx context.Context) error {
	page, err := c.store.List(ctx, topicwatch.Crashes)
	if err != nil {
		return err
	}
	c.apply(page)
	return nil
}

func (c *crashReports) read(ctx context.Context, wait time.Duration) error {
	c.mu.Lock()
	next := c.next
	c.mu.Unlock()
	page, err := c.store.Read(ctx, topicwatch.Crashes, next, wait)
	if errors.Is(err, topicwatch.ErrExpired) {
		return c.list(ctx)
	}
	if err != nil {
		return err
	}
	c.apply(page)
	return nil
}

// apply passes the reports on to the table. Two reads may return the same records; the
// older page changes nothing.
func (c *crashReports) apply(page topicwatch.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, it := range page.Items {
		var r quarantine.Report
		if it.Offset < c.next || it.Key == "" {
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
		c.table.SetReport(it.Key, r)
	}
	c.next, c.readAt = max(c.next, page.Next), time.Now()
	if n := c.table.Quarantined(); n > 0 && len(page.Items) > 0 {
		c.logger.Info("crash reports read", zap.Int("reports", len(page.Items)), zap.Int("quarantined", n))
	}
}

// publish writes this instance's report whenever it has changed, until ctx ends. It does
// not write before the reports are listed, since that would replace the report of an
// earlier start.
func (c *crashReports) publish(ctx context.Context) {
	select {
	case <-c.listed:
	case <-ctx.Done():
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.table.Changed():
		}
		sleep(ctx, c.scaled(crashReportDelay))
		for ctx.Err() == nil {
			value, err := json.Marshal(c.table.Report())
			if err == nil {
				_, err = c.store.Put(ctx, topicwatch.Crashes, c.instance, value)
			}
			if err == nil {
				c.logger.Debug("crash report written", zap.Int("bytes", len(value)))
				break
			}
			c.logger.Warn("cannot write crash report, retrying", telemetry.Err(err))
			sleep(ctx, crashReadRetry)
		}
		c.readNow(ctx)
	}
}
