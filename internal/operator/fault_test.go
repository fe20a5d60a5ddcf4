package operator

import (
	"runtime"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fault is a failure that the test injects at a step.
type fault struct {
	name  string
	apply func(sim *simulation)
}

var faults = []fault{
	{"kill", func(*simulation) { runtime.Goexit() }},
	{"lost-answer", func(sim *simulation) { sim.setFaults(baseLatency*4, standin.LogFaults{LoseResponses: true}) }},
	{"short-outage", func(sim *simulation) { sim.setFaults(time.Second, standin.LogFaults{Down: true}) }},
	{"long-outage", func(sim *simulation) {
		sim.setFaults(operationTimeout+time.Second, standin.LogFaults{Down: true})
	}},
	{"slow", func(sim *simulation) {
		sim.latencyNs.Store(int64(100 * baseLatency))
		sim.setFaults(time.Second, standin.LogFaults{})
	}},
	{"expired", func(sim *simulation) { sim.setFaults(time.Second, standin.LogFaults{Retain: 1}) }},
}

// setFaults switches the log faults on and, after d, switches them off and resets
// the latency.
func (sim *simulation) setFaults(d time.Duration, f standin.LogFaults) {
	sim.log.SetFaults(f)
	sim.recoveries.Go(func() {
		time.Sleep(d)
		sim.latencyNs.Store(int64(baseLatency))
		sim.log.SetFaults(standin.LogFaults{})
	})
}
