package operator

import (
	"context"
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// observation is what the test checks of one configuration version.
type observation struct {
	version   backing.Offset
	counter   float64
	changeIDs map[float64]bool
	// danglingModel reports that a model names a pool that does not exist.
	danglingModel bool
}

// recordingLog records each new configuration version when its record enters the
// stream, independent of the faults that readers get.
type recordingLog struct {
	*standin.Log
	// overrideBase sets the base of every change to the version current at its
	// offset, which has the same effect as views without the base-version check.
	overrideBase bool
	// appendLock serializes appends. It is a channel because the virtual clock of
	// synctest stops while a goroutine waits for a mutex.
	appendLock   chan struct{}
	view         *controlstate.View
	snapshot     *controlstate.View
	observations []observation
}

func (l *recordingLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	l.appendLock <- struct{}{}
	defer func() { <-l.appendLock }()
	if l.overrideBase {
		entries = []json.RawMessage{withBase(entries[0], l.view.ConfigVersion)}
	}
	before, _ := l.Counts()
	offset, err := l.Log.Append(ctx, stream, entries)
	if after, _ := l.Counts(); after > before {
		l.observe(entries[0])
	}
	return offset, err
}

func withBase(data json.RawMessage, base backing.Offset) json.RawMessage {
	e, _ := record.Decode(data)
	var change record.ConfigChange
	_ = json.Unmarshal(e.Body, &change)
	change.Base = base
	e.Body, _ = json.Marshal(change)
	data, _ = e.Encode()
	return data
}

// snapshotEvery is the number of records between two snapshots.
const snapshotEvery = 3

func (l *recordingLog) observe(data json.RawMessage) {
	old := l.view.ConfigVersion
	l.view, _, _ = l.view.ApplyRecord(backing.Record{Offset: l.view.Offset + 1, Data: data})
	if l.view.Offset%snapshotEvery == 0 {
		l.snapshot = l.view
	}
	if l.view.ConfigVersion == old {
		return
	}
	o := observation{version: l.view.ConfigVersion, changeIDs: make(map[float64]bool)}
	for id, team := range l.view.Teams.All() {
		if id == sharedTeam {
			o.counter = team.Weight
			continue
		}
		o.changeIDs[team.RateTokensPerS] = true
	}
	for _, model := range l.view.Models.All() {
		if _, ok := l.view.Pools.Get(model.Pool); !ok {
			o.danglingModel = true
		}
	}
	l.observations = append(l.observations, o)
}
