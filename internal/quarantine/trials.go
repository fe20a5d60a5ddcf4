package quarantine

import "time"

// trialTurn is the length of an instance's turn. It is longer than a report of a crash takes
// to the other instances of a large fleet.
const trialTurn = 2 * time.Second

// trials decides which requests may run although one of their suspects crashed upstreams,
// after its time of refusal. If all instances sent one at once, it could crash as many
// upstreams as there are instances, so they take turns in time slots of the wall clock, with
// one request in each.
type trials struct {
	rank, count int64
	// started has the last trial of each suspect.
	started map[Suspect]trial
}

type trial struct {
	serial uint64
	at     time.Time
}

func newTrials() trials { return trials{count: 1, started: make(map[Suspect]trial)} }

// mayStart reports whether a request may run, or is the one that already does in this turn.
func (t *trials) mayStart(s Suspect, serial uint64, now time.Time) bool {
	slot := now.UnixNano() / int64(trialTurn)
	if slot%t.count != t.rank%t.count {
		return false
	}
	last, ok := t.started[s]
	return !ok || last.serial == serial || last.at.UnixNano()/int64(trialTurn) != slot
}

func (t *trials) start(s Suspect, serial uint64, now time.Time) {
	t.started[s] = trial{serial, now}
}

// next returns when the next turn of this instance begins.
func (t *trials) next(now time.Time) time.Time {
	slot := now.UnixNano() / int64(trialTurn)
	ahead := (t.rank%t.count - slot%t.count + t.count) % t.count
	if ahead == 0 {
		ahead = t.count
	}
	return time.Unix(0, (slot+ahead)*int64(trialTurn))
}

// expire drops trials whose turn is over.
func (t *trials) expire(now time.Time) {
	for s, last := range t.started {
		if now.Sub(last.at) > trialTurn {
			delete(t.started, s)
		}
	}
}
