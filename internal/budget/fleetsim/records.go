package fleetsim

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func dcName(i int) string { return fmt.Sprintf("dc%d", i) }

func (f *fleet) appendEnvelope(ctx context.Context, e record.Envelope) platform.Offset {
	data, err := e.Encode()
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		offset, err := f.log.Append(ctx, record.ControlStream, []json.RawMessage{data})
		if err == nil {
			f.end.Store(max(f.end.Load(), uint64(offset)))
			return offset
		}
		sleep(ctx, retryWait)
	}
	return 0
}

// setDC publishes the state of a data centre, until the change wins.
func (f *fleet) setDC(i int, state config.DataCentreState) {
	f.publish(change(record.SectionDataCentres, dcName(i), config.DataCentre{Region: "r", State: state}))
}

func (f *fleet) publish(changes ...record.EntryChange) {
	e, err := record.New("fleetsim", 0, record.ConfigChange{Base: platform.Offset(f.configVersion()), Changes: changes})
	if err != nil {
		panic(err)
	}
	offset := f.appendEnvelope(f.ctx, e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = uint64(offset)
}

func (f *fleet) configVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *fleet) publishInitial() {
	var changes []record.EntryChange
	for id, team := range f.scenario.Teams {
		changes = append(changes, change(record.SectionTeams, id, team))
	}
	for i := range f.scenario.DCs {
		changes = append(changes, change(record.SectionDataCentres, dcName(i), config.DataCentre{Region: "r"}))
	}
	f.publish(changes...)
}

func change(section record.Section, id string, value any) record.EntryChange {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return record.EntryChange{Section: section, ID: id, Value: data}
}

// separated reports whether messages between two nodes are lost.
func (f *fleet) separated(a, b *node) bool {
	if a.dc == b.dc {
		return false
	}
	return f.dcCut(a.dc) || f.dcCut(b.dc)
}

func (f *fleet) dcCut(dc int) bool {
	elapsed := f.elapsed()
	for _, fault := range f.scenario.Faults {
		if fault.Kind == PartitionDC && fault.Node == dc && within(fault, elapsed) {
			return true
		}
	}
	return false
}

func within(fault Fault, elapsed time.Duration) bool {
	return elapsed >= fault.At && elapsed < fault.At+fault.Duration
}

func (f *fleet) cutFromLog(n *node) bool {
	if f.dcCut(n.dc) {
		return true
	}
	elapsed := f.elapsed()
	for _, fault := range f.scenario.Faults {
		if (fault.Kind == LogDownForOne || fault.Kind == Flap) && fault.Node == n.index && within(fault, elapsed) {
			return true
		}
	}
	return false
}

// skipsViews reports whether the node shows its tracker only the last view of
// each batch.
func (f *fleet) skipsViews(n *node) bool { return n.index%2 == 0 }

func (f *fleet) outageConfirmed() bool {
	if !f.active(LogDown) {
		return false
	}
	for dc := range f.scenario.DCs {
		if f.dcCut(dc) {
			return false
		}
	}
	return true
}
