package fleetsim

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func dcName(i int) string { return fmt.Sprintf("dc%d", i) }

func (f *fleet) appendEnvelope(ctx context.Context, e record.Envelope) backing.Offset {
	data, err := e.Encode()
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		offset, err := f.log.Append(ctx, record.ControlStream, []json.RawMessage{data})
		if err == nil {
			f.lastOffset.Store(max(f.lastOffset.Load(), uint64(offset)))
			return offset
		}
		sleep(ctx, retryWait)
	}
	return 0
}

// setDC publishes the configured state of a data centre.
func (f *fleet) setDC(i int, state config.DataCentreState) {
	f.publish(entryChange(record.SectionDataCentres, dcName(i), config.DataCentre{Region: "r", State: state}))
}

func (f *fleet) publish(changes ...record.EntryChange) {
	e, err := record.New("fleetsim", 0, record.ConfigChange{Base: backing.Offset(f.configVersion()), Changes: changes})
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
		changes = append(changes, entryChange(record.SectionTeams, id, team))
	}
	for i := range f.scenario.DCs {
		changes = append(changes, entryChange(record.SectionDataCentres, dcName(i), config.DataCentre{Region: "r"}))
	}
	f.publish(changes...)
}

func entryChange(section record.Section, id string, value any) record.EntryChange {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return record.EntryChange{Section: section, ID: id, Value: data}
}

// partitioned reports whether messages between two nodes are lost.
func (f *fleet) partitioned(a, b *node) bool {
	if a.dc == b.dc {
		return false
	}
	return f.dcPartitioned(a.dc) || f.dcPartitioned(b.dc)
}

func (f *fleet) dcPartitioned(dc int) bool {
	elapsed := f.elapsed()
	for _, fault := range f.scenario.Faults {
		if fault.Kind == PartitionDC && fault.Node == dc && activeAt(fault, elapsed) {
			return true
		}
	}
	return false
}

func activeAt(fault Fault, elapsed time.Duration) bool {
	return elapsed >= fault.At && elapsed < fault.At+fault.Duration
}

func (f *fleet) cutFromLog(n *node) bool {
	if f.dcPartitioned(n.dc) {
		return true
	}
	elapsed := f.elapsed()
	for _, fault := range f.scenario.Faults {
		if (fault.Kind == LogDownForOne || fault.Kind == Flap) && fault.Node == n.index && activeAt(fault, elapsed) {
			return true
		}
	}
	return false
}

// observesLastViewOnly reports whether the node's tracker observes only the last
// view of each page of records, instead of the view after each record.
func (f *fleet) observesLastViewOnly(n *node) bool { return n.index%2 == 0 }

func (f *fleet) outageConfirmed() bool {
	if !f.active(LogDown) {
		return false
	}
	for dc := range f.scenario.DCs {
		if f.dcPartitioned(dc) {
			return false
		}
	}
	return true
}
