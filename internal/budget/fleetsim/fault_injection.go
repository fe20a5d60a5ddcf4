package fleetsim

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// removalDelay is how long a node must be unreachable before its removal is
// recorded.
const removalDelay = 10 * time.Second

// applyStepFaults applies the faults that are due at this step of this node.
func (f *fleet) applyStepFaults(n *node, step budget.Step) {
	if f.finished.Load() {
		return
	}
	elapsed := f.elapsed()
	for i, fault := range f.scenario.Faults {
		if fault.Step != step || fault.Node != n.index || elapsed < fault.At {
			continue
		}
		if !f.markApplied(i) {
			continue
		}
		switch fault.Kind {
		case Pause:
			n.pause(time.Now().Add(fault.Duration))
		case Kill:
			n.kill()
			go f.recordGone(n, removalDelay)
		}
	}
}

func (f *fleet) markApplied(fault int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applied[fault] {
		return false
	}
	f.applied[fault] = true
	f.result.FaultsApplied++
	return true
}

// schedule applies the faults that have no step at their times.
func (f *fleet) schedule() {
	for i, fault := range f.scenario.Faults {
		if fault.Step != "" {
			continue
		}
		go func() {
			sleep(f.ctx, fault.At)
			if f.markApplied(i) {
				f.applyFault(fault)
			}
		}()
	}
}

func (f *fleet) applyFault(fault Fault) {
	switch fault.Kind {
	case LogDown:
		f.logFault(standin.LogFaults{Down: true}, fault.Duration)
	case LogSlow:
		f.logFault(standin.LogFaults{Delay: 2 * time.Second}, fault.Duration)
	case Kill:
		n := f.liveNode(fault.Node)
		n.kill()
		f.recordGone(n, removalDelay)
	case Replace:
		n := f.liveNode(fault.Node)
		n.kill()
		f.join(f.startNode(n.index))
	case Pause:
		f.liveNode(fault.Node).pause(time.Now().Add(fault.Duration))
	case FalseRemoval:
		f.recordGone(f.liveNode(fault.Node), 0)
	case Flap:
		f.flap(fault)
	case PartitionDC:
		f.partitionDC(fault)
	case DisableDC:
		f.setDC(fault.Node, config.DataCentreOut)
		sleep(f.ctx, fault.Duration)
		f.setDC(fault.Node, config.DataCentreIn)
	}
}

func (f *fleet) logFault(faults standin.LogFaults, d time.Duration) {
	f.log.SetFaults(faults)
	sleep(f.ctx, d)
	f.log.SetFaults(standin.LogFaults{})
}

// flap has an instance join, own shares and be removed just before one node, which
// could not read the log, resumes reading.
func (f *fleet) flap(fault Fault) {
	f.mu.Lock()
	index := len(f.slots)
	f.slots = append(f.slots, nil)
	f.mu.Unlock()
	n := f.startNode(index)
	f.join(n)
	sleep(f.ctx, fault.Duration-time.Second)
	f.recordGone(n, 0)
}

func (f *fleet) partitionDC(fault Fault) {
	var affected []*node
	for i := range f.scenario.Nodes {
		if n := f.liveNode(i); n.dc == fault.Node {
			affected = append(affected, n)
		}
	}
	sleep(f.ctx, removalDelay)
	for _, n := range affected {
		// If two records were appended at the same instant, a reader could get one
		// or both of them in its next page, so that the run would not depend on the
		// seed alone.
		sleep(f.ctx, n.stagger())
		f.append(f.ctx, record.MemberGone{Instance: n.instance, Incarnation: n.incarnation, Reason: record.GoneSilent})
	}
}

func (f *fleet) recordGone(n *node, after time.Duration) {
	sleep(f.ctx, after)
	f.append(f.ctx, record.MemberGone{Instance: n.instance, Incarnation: n.incarnation, Reason: record.GoneSilent})
}

// restart starts a new incarnation in the slot of a node that read its own
// removal.
func (f *fleet) restart(n *node) {
	n.kill()
	if n.index >= f.scenario.Nodes {
		return
	}
	f.join(f.startNode(n.index))
}

func (f *fleet) join(n *node) {
	f.append(f.ctx, record.MemberJoin{
		Instance:    n.instance,
		Incarnation: n.incarnation,
		Role:        record.RoleEntry,
		DataCentre:  dcName(n.dc),
		PeerAddr:    n.addr,
	})
}

// append appends a record, with retries until the log accepts it.
func (f *fleet) append(ctx context.Context, body record.Body) {
	e, err := record.New("fleetsim", 0, body)
	if err != nil {
		panic(err)
	}
	f.appendEnvelope(ctx, e)
}
