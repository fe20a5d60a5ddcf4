package fleetsim

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// goneAfter is the silence after which the end of a node is recorded.
const goneAfter = 10 * time.Second

// strike applies the faults that wait for this step of this node.
func (f *fleet) strike(n *node, step budget.Step) {
	if f.over.Load() {
		return
	}
	elapsed := f.elapsed()
	for i, fault := range f.scenario.Faults {
		if fault.Step != step || fault.Node != n.index || elapsed < fault.At {
			continue
		}
		if !f.first(i) {
			continue
		}
		switch fault.Kind {
		case Pause:
			n.pause(time.Now().Add(fault.Duration))
		case Kill:
			n.kill()
			go f.recordGone(n, goneAfter)
		}
	}
}

func (f *fleet) first(fault int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.struck[fault] {
		return false
	}
	f.struck[fault] = true
	f.result.FaultsApplied++
	return true
}

// schedule runs the faults that strike at a time.
func (f *fleet) schedule() {
	for i, fault := range f.scenario.Faults {
		if fault.Step != "" {
			continue
		}
		go func() {
			sleep(f.ctx, fault.At)
			if f.first(i) {
				f.apply(fault)
			}
		}()
	}
}

func (f *fleet) apply(fault Fault) {
	switch fault.Kind {
	case LogDown:
		f.logFault(standin.LogFaults{Down: true}, fault.Duration)
	case LogSlow:
		f.logFault(standin.LogFaults{Delay: 2 * time.Second}, fault.Duration)
	case Kill:
		n := f.slot(fault.Node)
		n.kill()
		f.recordGone(n, goneAfter)
	case Replace:
		n := f.slot(fault.Node)
		n.kill()
		f.join(f.spawn(n.index))
	case Pause:
		f.slot(fault.Node).pause(time.Now().Add(fault.Duration))
	case FalseRemoval:
		f.recordGone(f.slot(fault.Node), 0)
	case Flap:
		f.flap(fault)
	case PartitionDC:
		f.cutDC(fault)
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

// flap lets an instance join, own shares and go just before one node, which
// was cut off the log, reads on.
func (f *fleet) flap(fault Fault) {
	f.mu.Lock()
	index := len(f.slots)
	f.slots = append(f.slots, nil)
	f.mu.Unlock()
	n := f.spawn(index)
	f.join(n)
	sleep(f.ctx, fault.Duration-time.Second)
	f.recordGone(n, 0)
}

func (f *fleet) cutDC(fault Fault) {
	var lost []*node
	for i := range f.scenario.Nodes {
		if n := f.slot(i); n.dc == fault.Node {
			lost = append(lost, n)
		}
	}
	sleep(f.ctx, goneAfter)
	for _, n := range lost {
		// Readers woken by one of two appends at the same instant would fold one
		// or both at once, which the seed does not fix.
		sleep(f.ctx, n.lag())
		f.append(f.ctx, record.MemberGone{Instance: n.instance, Incarnation: n.incarnation, Reason: record.GoneSilent})
	}
}

func (f *fleet) recordGone(n *node, after time.Duration) {
	sleep(f.ctx, after)
	f.append(f.ctx, record.MemberGone{Instance: n.instance, Incarnation: n.incarnation, Reason: record.GoneSilent})
}

// restart gives the slot a new incarnation after the node read its own end.
func (f *fleet) restart(n *node) {
	n.kill()
	if n.index >= f.scenario.Nodes {
		return
	}
	f.join(f.spawn(n.index))
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

// append retries until the log takes the record.
func (f *fleet) append(ctx context.Context, body record.Body) {
	e, err := record.New("fleetsim", 0, body)
	if err != nil {
		panic(err)
	}
	f.appendEnvelope(ctx, e)
}
