package residency

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fault is a column of the fault matrix. Its name starts with its id in section 2.2.
type fault string

const (
	f1Killed            fault = "F1 killed"
	f2StoreSlow         fault = "F2 store slow"
	f2StoreRefuses      fault = "F2 store refusing"
	f3SameInstance      fault = "F3 replaced, same instance"
	f3Removed           fault = "F3 removed"
	f5EngineEvicts      fault = "F5 evicts"
	f6LogDown           fault = "F6 log down"
	f6LogDownOneReader  fault = "F6 log down for one reader"
	f7AppendAnswersLost fault = "F7 append answers lost"
	f8ShortPause        fault = "F8 paused 5 s"
	f8DeclaredGone      fault = "F8 paused 40 s and declared gone"
	f8Replaced          fault = "F8 paused and replaced at the same engine"
	f14OrderAnswersLost fault = "F14 order answers lost"
	f18Duplicates       fault = "F18 orders duplicated"
	f18Delays           fault = "F18 orders delayed"
	f18LateOrder        fault = "F18 connection breaks, order arrives later"
	engineCrash         fault = "engine crash"
	slowFetchDelay            = 12 * time.Second
)

var allFaults = []fault{
	f1Killed, f2StoreSlow, f2StoreRefuses, f3SameInstance, f3Removed, f5EngineEvicts, f6LogDown, f6LogDownOneReader, f7AppendAnswersLost,
	f8ShortPause, f8DeclaredGone, f8Replaced, f14OrderAnswersLost, f18Duplicates, f18Delays, f18LateOrder, engineCrash,
}

// onStep records that p reached a step and injects the faults that are due there.
func (c *cluster) onStep(p *process, s Step, n int) {
	c.mu.Lock()
	c.passedSteps[s] = true
	var due []fault
	for i, inj := range c.faults {
		if inj.step == s && inj.pass == n && inj.fault != "" && p.join.Instance == "a" {
			due = append(due, inj.fault)
			c.faults[i].fault = ""
		}
	}
	c.mu.Unlock()
	for _, f := range due {
		c.inject(p, f)
	}
}

func (c *cluster) inject(p *process, f fault) {
	e := c.engines["a"]
	switch f {
	case f1Killed:
		p.kill()
		time.AfterFunc(500*time.Millisecond, func() { c.restart() })
	case f2StoreSlow:
		c.storeFault(standin.WeightStoreFaults{ExtraDelay: slowFetchDelay}, 15*time.Second)
	case f2StoreRefuses:
		c.storeFault(standin.WeightStoreFaults{Refuse: true}, 15*time.Second)
	case f3SameInstance:
		p.kill()
		e.Crash()
		time.AfterFunc(time.Second, func() { c.restart() })
	case f3Removed:
		p.kill()
		e.Crash()
		time.AfterFunc(5*time.Second, func() { c.declareGone(p, record.GoneRemoved) })
		time.AfterFunc(20*time.Second, func() { c.restart() })
	case f5EngineEvicts:
		e.Evict()
	case f6LogDown:
		c.logFault(standin.LogFaults{Down: true}, 15*time.Second)
	case f6LogDownOneReader:
		p.setDisconnected(true)
		time.AfterFunc(40*time.Second, func() { p.setDisconnected(false) })
	case f7AppendAnswersLost:
		c.logFault(standin.LogFaults{LoseResponses: true, Delay: time.Millisecond}, 10*time.Second)
	case f8ShortPause:
		p.pause(5 * time.Second)
	case f8DeclaredGone:
		p.pause(40 * time.Second)
		time.AfterFunc(10*time.Second, func() { c.declareGone(p, record.GoneSilent) })
	case f8Replaced:
		p.pause(20 * time.Second)
		time.AfterFunc(time.Second, func() { c.restart() })
	case f14OrderAnswersLost:
		c.engineFault(standin.EngineFaults{LoseResponses: true, Delay: 2 * time.Millisecond})
	case f18Duplicates:
		c.engineFault(standin.EngineFaults{DuplicateAfter: 900 * time.Millisecond, Delay: 2 * time.Millisecond})
	case f18Delays:
		c.engineFault(standin.EngineFaults{Delay: 900 * time.Millisecond})
	case f18LateOrder:
		c.engineFault(standin.EngineFaults{LateDelivery: 900 * time.Millisecond})
	case engineCrash:
		e.Crash()
	}
}

func (c *cluster) restart() {
	if c.ctx.Err() == nil {
		c.start("a")
	}
}

func (c *cluster) declareGone(p *process, reason record.GoneReason) {
	_ = c.append(c.ctx, record.MemberGone{Instance: "a", Incarnation: p.join.Incarnation, Reason: reason})
}

func (c *cluster) storeFault(f standin.WeightStoreFaults, d time.Duration) {
	c.store.SetFaults(f)
	time.AfterFunc(d, func() { c.store.SetFaults(standin.WeightStoreFaults{}) })
}

func (c *cluster) logFault(f standin.LogFaults, d time.Duration) {
	c.log.SetFaults(f)
	time.AfterFunc(d, func() { c.log.SetFaults(standin.LogFaults{Delay: time.Millisecond}) })
}

func (c *cluster) engineFault(f standin.EngineFaults) {
	c.engines["a"].SetFaults(f)
	time.AfterFunc(15*time.Second, func() {
		c.engines["a"].SetFaults(standin.EngineFaults{Delay: 2 * time.Millisecond})
	})
}

func (p *process) setDisconnected(disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = disconnected
}
