package atmostonce

import (
	"context"
	"encoding/json"
	"time"
)

// maintain runs at intervals, whether or not there are requests. On the first
// candidate it starts snapshots when they are due: without them, the state would
// be lost when the log drops its old records. On other instances it frees the
// state after IdleTimeout.
func (p *partitionWriter) maintain(ctx context.Context, isFirst bool, idle time.Duration) {
	if !isFirst && idle >= p.opts.IdleTimeout {
		p.state = nil
		return
	}
	if !isFirst {
		return
	}
	if err := p.ensureLoaded(ctx); err != nil {
		return
	}
	if err := p.catchUp(ctx, p.state, func(Record) { p.plan.records++ }); err != nil {
		p.handleReadError(err)
		return
	}
	p.startSnapshot()
}

// startSnapshot encodes the chunks of a snapshot if one is due.
func (p *partitionWriter) startSnapshot() {
	now := time.Now()
	due := now.After(p.plan.due) || p.plan.records >= p.opts.SnapshotRecords
	if p.state == nil || len(p.plan.chunks) > 0 || !due {
		return
	}
	p.state.Prune(now.Add(-p.window() - 4*p.opts.MaxClockSkew))
	p.plan = snapshotPlan{due: now.Add(p.opts.SnapshotInterval)}
	if p.state.Len() == 0 && p.state.lostUntilMS == 0 && p.state.Offset() == 0 {
		return
	}
	for _, r := range p.state.Snapshot(p.ids.next()) {
		data, err := r.Encode()
		if err != nil {
			return
		}
		p.plan.chunks = append(p.plan.chunks, data)
	}
}

// continueSnapshot appends one chunk of the current snapshot, and further chunks
// while no request waits, so that a large snapshot does not delay requests. If an
// append fails, it abandons the snapshot, and a new one starts after an eighth of
// SnapshotInterval.
func (p *partitionWriter) continueSnapshot(ctx context.Context) {
	for first := true; len(p.plan.chunks) > 0 && (first || len(p.queue) == 0) && ctx.Err() == nil; first = false {
		if err := p.appendChunk(ctx, p.plan.chunks[0]); err != nil {
			p.plan = snapshotPlan{due: time.Now().Add(p.opts.SnapshotInterval / 8)}
			return
		}
		p.plan.chunks = p.plan.chunks[1:]
		p.hooks.reach(StepWriterBetweenChunks)
	}
}

func (p *partitionWriter) appendChunk(ctx context.Context, data json.RawMessage) error {
	if err := p.limiter.Wait(ctx); err != nil {
		return err
	}
	p.metrics.appends.Add(1)
	p.metrics.entries.Add(1)
	return p.append(ctx, []json.RawMessage{data})
}
