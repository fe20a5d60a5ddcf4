package once

import (
	"encoding/json"
	"time"
	"unique"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Fold is the state after a prefix of one partition stream. Every writer that
// applies the same records has the same fold. It is not safe for concurrent use.
type Fold struct {
	states map[Identity]State
	offset platform.Offset
	// blindMS is not 0 when records were lost to retention without a snapshot.
	// A lost record may concern any key minted up to then (Unix milliseconds).
	blindMS int64
	// prunedMS is the time before which keys were dropped (Unix milliseconds).
	// It keeps a raised window or a wrong clock from admitting such a key again.
	prunedMS int64
	hooks    *hooks
}

// NewFold returns the fold before the first record.
func NewFold() *Fold { return &Fold{states: make(map[Identity]State), hooks: &hooks{}} }

// Offset returns the offset of the last record applied.
func (f *Fold) Offset() platform.Offset { return f.offset }

// Len returns the number of identities.
func (f *Fold) Len() int { return len(f.states) }

// Get returns the state of an identity.
func (f *Fold) Get(id Identity) (State, bool) {
	s, ok := f.states[id]
	return s, ok
}

// Blind reports whether the state of id cannot be told, because a record of it
// may have expired or been pruned. A recorded result is certain even then.
func (f *Fold) Blind(id Identity) bool {
	if f.blindMS == 0 && f.prunedMS == 0 || f.states[id].Phase == PhaseFinished {
		return false
	}
	minted, err := IDTime(id.Key)
	if err != nil {
		return true
	}
	pruned := minted.UnixMilli() < f.prunedMS && !f.hooks.ignoreExpiry
	return pruned || minted.UnixMilli() <= f.blindMS
}

// ApplyRecord applies one record of the stream and returns it. A record that
// cannot be decoded or breaks a rule changes nothing but the offset.
func (f *Fold) ApplyRecord(r platform.Record) Record {
	f.offset = r.Offset
	var rec Record
	if err := json.Unmarshal(r.Data, &rec); err != nil {
		return Record{}
	}
	switch rec.Kind {
	case RecordIntent:
		f.applyIntent(rec)
	case RecordSupersede:
		f.applySupersede(rec)
	case RecordResult:
		f.applyResult(rec)
	case RecordSnapshot:
		// Snapshots repeat what the fold knows; only a load reads them.
	}
	return rec
}

// applyIntent lets the first intent win; after every attempt was fenced, the
// next one with the same digest wins.
func (f *Fold) applyIntent(r Record) {
	old, ok := f.states[r.Identity]
	reopens := old.Phase == PhaseNotRun && old.Attempt != r.Attempt && old.Digest == r.Digest
	if ok && !reopens && !f.hooks.lastIntentWins {
		return
	}
	f.states[r.Identity] = State{
		Identity: r.Identity,
		Digest:   r.Digest,
		Phase:    PhaseRunning,
		Attempt:  r.Attempt,
		Target:   shared(r.Target),
		Author:   shared(r.Author),
		Offset:   f.offset,
	}
}

// applySupersede is void unless the fenced attempt is still the allowed one,
// so of two entry instances that settled the same attempt one wins.
func (f *Fold) applySupersede(r Record) {
	s, ok := f.states[r.Identity]
	if !ok || s.Phase != PhaseRunning || s.Attempt != r.Old {
		return
	}
	if r.Attempt == "" {
		s.Phase = PhaseNotRun
		f.states[r.Identity] = s
		return
	}
	s.Attempt = r.Attempt
	s.Target = shared(r.Target)
	s.Author = shared(r.Author)
	s.Offset = f.offset
	f.states[r.Identity] = s
}

func (f *Fold) applyResult(r Record) {
	s, ok := f.states[r.Identity]
	if f.Blind(r.Identity) {
		s = State{Identity: r.Identity, Digest: r.Digest, Phase: PhaseRunning, Attempt: r.Attempt, Offset: f.offset}
		ok = true
	}
	if !ok || s.Phase != PhaseRunning || s.Attempt != r.Attempt || r.Result == nil {
		return
	}
	s.Phase = PhaseFinished
	s.Result = r.Result
	f.states[r.Identity] = s
}

// Prune drops the identities minted before the given time. Callers choose it so
// early that every instance refuses these keys as expired.
func (f *Fold) Prune(before time.Time) {
	limit := before.UnixMilli()
	for id := range f.states {
		minted, err := IDTime(id.Key)
		if err != nil || minted.UnixMilli() < limit {
			delete(f.states, id)
		}
	}
	f.prunedMS = max(f.prunedMS, limit)
	if f.blindMS < limit {
		f.blindMS = 0
	}
}

// shared returns ref with strings that equal references share: a fleet has few
// instances and a fold has many states.
func shared(ref record.InstanceRef) record.InstanceRef { return unique.Make(ref).Value() }
