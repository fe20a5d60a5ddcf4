package operator

import (
	"runtime"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fault is one thing that happens at a step.
type fault struct {
	name string
	do   func(w *world)
}

var faults = []fault{
	{"kill", func(*world) { runtime.Goexit() }},
	{"lost-answer", func(w *world) { w.during(latency*4, standin.LogFaults{LoseResponses: true}) }},
	{"short-outage", func(w *world) { w.during(time.Second, standin.LogFaults{Down: true}) }},
	{"long-outage", func(w *world) { w.during(patience+time.Second, standin.LogFaults{Down: true}) }},
	{"slow", func(w *world) { w.delay.Store(int64(100 * latency)); w.during(time.Second, standin.LogFaults{}) }},
	{"expired", func(w *world) { w.during(time.Second, standin.LogFaults{Retain: 1}) }},
}

// during switches faults on for a time.
func (w *world) during(d time.Duration, f standin.LogFaults) {
	w.log.SetFaults(f)
	w.repairs.Go(func() {
		time.Sleep(d)
		w.delay.Store(int64(latency))
		w.log.SetFaults(standin.LogFaults{})
	})
}
