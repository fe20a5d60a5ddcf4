package atmostonce

import (
	"encoding/json"
	"time"
	"unique"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// PartitionState is the state after the records of one partition stream up to
// an offset. Every writer that applies the same records gets the same state. It
// is not safe for concurrent use.
type PartitionState struct {
	states map[CallID]CallState
	offset backing.Offset
	// lostUntilMS is not 0 if records expired from the log before a snapshot
	// covered them. The lost records may concern any key created up to this time
	// (Unix milliseconds).
	lostUntilMS int64
	// prunedBeforeMS is the time before which keys have been pruned (Unix
	// milliseconds). It prevents such a key from being admitted again after the
	// idempotency window is raised or a clock was wrong.
	prunedBeforeMS int64
	hooks          *hooks
}

// NewPartitionState returns the state before the first record.
func NewPartitionState() *PartitionState {
	return &PartitionState{states: make(map[CallID]CallState), hooks: &hooks{}}
}

// Offset returns the offset of the last record applied.
func (p *PartitionState) Offset() backing.Offset { return p.offset }

// Len returns the number of calls.
func (p *PartitionState) Len() int { return len(p.states) }

// Get returns the state of a call.
func (p *PartitionState) Get(id CallID) (CallState, bool) {
	s, ok := p.states[id]
	return s, ok
}

// RecordsMayBeLost reports whether the state of a call is unknown, because its
// records may have expired or been pruned. It returns false for a finished
// call, whose recorded result is certain even then.
func (p *PartitionState) RecordsMayBeLost(id CallID) bool {
	if p.lostUntilMS == 0 && p.prunedBeforeMS == 0 || p.states[id].Phase == PhaseFinished {
		return false
	}
	created, err := IDTime(id.Key)
	if err != nil {
		return true
	}
	pruned := created.UnixMilli() < p.prunedBeforeMS && !p.hooks.ignoreExpiry
	return pruned || created.UnixMilli() <= p.lostUntilMS
}

// ApplyRecord applies one record of the stream and returns it. A record that
// cannot be decoded, or that is not valid in the current state, changes only
// the offset.
func (p *PartitionState) ApplyRecord(r backing.Record) Record {
	p.offset = r.Offset
	var rec Record
	if err := json.Unmarshal(r.Data, &rec); err != nil {
		return Record{}
	}
	switch rec.Kind {
	case RecordIntent:
		p.applyIntent(rec)
	case RecordSupersede:
		p.applySupersede(rec)
	case RecordResult:
		p.applyResult(rec)
	case RecordSnapshot:
		// A snapshot repeats records that are already applied; only load reads it.
	}
	return rec
}

// applyIntent applies the first intent of a call and ignores later ones. Once
// every attempt so far is fenced, it applies the next intent with the same
// digest.
func (p *PartitionState) applyIntent(r Record) {
	old, ok := p.states[r.CallID]
	reopens := old.Phase == PhaseNotRun && old.Attempt != r.Attempt && old.Digest == r.Digest
	if ok && !reopens && !p.hooks.lastIntentWins {
		return
	}
	p.states[r.CallID] = CallState{
		CallID:  r.CallID,
		Digest:  r.Digest,
		Phase:   PhaseRunning,
		Attempt: r.Attempt,
		Target:  intern(r.Target),
		Author:  intern(r.Author),
		Offset:  p.offset,
	}
}

// applySupersede ignores the record unless OldAttempt is still the running
// attempt of the call. So if two entry instances settled the same attempt, only
// one of them may dispatch the next.
func (p *PartitionState) applySupersede(r Record) {
	s, ok := p.states[r.CallID]
	if !ok || s.Phase != PhaseRunning || s.Attempt != r.OldAttempt {
		return
	}
	if r.Attempt == "" {
		s.Phase = PhaseNotRun
		p.states[r.CallID] = s
		return
	}
	s.Attempt = r.Attempt
	s.Target = intern(r.Target)
	s.Author = intern(r.Author)
	s.Offset = p.offset
	p.states[r.CallID] = s
}

// applyResult ignores a result that is not of the running attempt. If the records
// of the call may be lost, it accepts the result of any attempt, because the lost
// records may include the intent of that attempt.
func (p *PartitionState) applyResult(r Record) {
	s, ok := p.states[r.CallID]
	if p.RecordsMayBeLost(r.CallID) {
		s = CallState{CallID: r.CallID, Digest: r.Digest, Phase: PhaseRunning, Attempt: r.Attempt, Offset: p.offset}
		ok = true
	}
	if !ok || s.Phase != PhaseRunning || s.Attempt != r.Attempt || r.Result == nil {
		return
	}
	s.Phase = PhaseFinished
	s.Result = r.Result
	p.states[r.CallID] = s
}

// Prune drops the calls whose keys were created before the given time. The
// caller must choose a time so early that every instance already refuses these
// keys as expired.
func (p *PartitionState) Prune(before time.Time) {
	limit := before.UnixMilli()
	for id := range p.states {
		created, err := IDTime(id.Key)
		if err != nil || created.UnixMilli() < limit {
			delete(p.states, id)
		}
	}
	p.prunedBeforeMS = max(p.prunedBeforeMS, limit)
	if p.lostUntilMS < limit {
		p.lostUntilMS = 0
	}
}

// intern returns ref with interned strings: the fleet has few instances, but
// many calls refer to them.
func intern(ref record.InstanceRef) record.InstanceRef { return unique.Make(ref).Value() }
