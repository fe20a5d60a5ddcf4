package engineagent

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

const (
	// cacheCallInterval is the time between the starts of two calls for cache events. A call
	// that finds events is charged for, and reports are not sent more often than twice a second.
	cacheCallInterval = time.Second
	// cacheRetryInterval is the pause after a call that the engine refused or did not answer;
	// it doubles up to cacheFailureInterval, which applies to an engine without the call.
	cacheRetryInterval   = time.Second
	cacheFailureInterval = 30 * time.Second
	// maxCacheListAge is how long the list is reported without an answer of the engine. An
	// engine under load replaces its cache in half a minute.
	maxCacheListAge = 5 * time.Second
)

// cacheFollower is how far the engine's cache events have been read.
type cacheFollower struct {
	epoch, since string
	// answeredAt is the time of the last answer that could be used.
	answeredAt time.Time
	retry      time.Duration
	// failing tells that the last call failed, which has been logged.
	failing bool
}

// FollowCacheEvents reads what the engine has cached until ctx ends.
func (a *Agent) FollowCacheEvents(ctx context.Context) {
	if a.CacheEvents == nil {
		return
	}
	var f cacheFollower
	for ctx.Err() == nil {
		t := time.NewTimer(a.readCacheEvents(ctx, &f))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// readCacheEvents makes one call and returns the time until the next one.
func (a *Agent) readCacheEvents(ctx context.Context, f *cacheFollower) time.Duration {
	if a.engineSpec() == nil {
		return cacheRetryInterval
	}
	start := time.Now()
	e, err := a.CacheEvents.CacheEvents(ctx, f.since)
	switch {
	case ctx.Err() != nil:
		return 0
	case err != nil:
		return a.retryCacheEvents(f, "no_answer", telemetry.Err(err))
	case e.Refused:
		return a.retryCacheEvents(f, "refused", zap.Skip())
	case e.Failure != "":
		a.dropPromptParts("failed")
		a.cacheCallFailed(f, "failed", zap.String("failure", e.Failure))
		*f = cacheFollower{failing: true}
		return cacheFailureInterval
	}
	a.countCacheCall("ok")
	if f.failing {
		a.Logger.Info("engine reports its prompt cache again")
	}
	if f.epoch != "" && f.epoch != e.Epoch {
		// The position was one of the engine's last start.
		a.dropPromptParts("epoch")
		*f = cacheFollower{}
		return 0
	}
	if e.Lost && f.since != "" {
		a.dropPromptParts("lost")
	}
	if f.epoch == "" {
		a.Logger.Info("follows the engine's prompt cache", zap.String("epoch", e.Epoch), zap.Int("events", len(e.Events)))
	}
	*f = cacheFollower{epoch: e.Epoch, since: e.Next, answeredAt: start}
	a.applyCacheEvents(e.Events)
	return cacheCallInterval - time.Since(start)
}

// retryCacheEvents returns the pause after a call without an answer that says anything of the
// cache.
func (a *Agent) retryCacheEvents(f *cacheFollower, result string, cause zap.Field) time.Duration {
	a.cacheCallFailed(f, result, cause)
	if f.since != "" && time.Since(f.answeredAt) > maxCacheListAge {
		a.dropPromptParts(result)
		f.epoch, f.since = "", ""
	}
	f.retry = min(cacheFailureInterval, max(cacheRetryInterval, 2*f.retry))
	return f.retry
}

func (a *Agent) cacheCallFailed(f *cacheFollower, result string, cause zap.Field) {
	a.countCacheCall(result)
	if !f.failing {
		a.Logger.Info("engine does not report its prompt cache", zap.String("result", result), cause)
	}
	f.failing = true
}

func (a *Agent) applyCacheEvents(events []fleet.CacheEvent) {
	a.metrics.GetOrCreateCounter("jacinthbend_prompt_cache_events_total").Add(len(events))
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range events {
		a.promptParts.Apply(e)
	}
	if a.promptParts.Publish(a.version+1, max(a.storeShare.engines, a.watched), time.Now()) {
		a.version++
	}
}

// dropPromptParts discards the list of cached parts.
func (a *Agent) dropPromptParts(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.promptParts.Empty() {
		return
	}
	known, listed := a.promptParts.Len()
	a.version++
	a.promptParts.Reset(a.version)
	a.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthbend_prompt_cache_resets_total{reason=%q}", reason)).Inc()
	a.Logger.Info("list of cached prompt parts discarded", zap.String("reason", reason), zap.Int("parts", known), zap.Int("reported", listed))
}

func (a *Agent) countCacheCall(result string) {
	a.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthbend_prompt_cache_calls_total{result=%q}", result)).Inc()
}

// RegisterMetrics adds the metrics of the engine's prompt cache to set. It must be called
// before FollowCacheEvents.
func (a *Agent) RegisterMetrics(set *metrics.Set) {
	a.metrics = set
	set.NewGauge(`jacinthbend_prompt_parts{list="known"}`, func() float64 {
		known, _ := a.promptPartsLen()
		return float64(known)
	})
	set.NewGauge(`jacinthbend_prompt_parts{list="reported"}`, func() float64 {
		_, listed := a.promptPartsLen()
		return float64(listed)
	})
}

func (a *Agent) promptPartsLen() (known, listed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.promptParts.Len()
}
