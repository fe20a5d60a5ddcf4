package replica_test

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fault is a failure that inject starts at a node. It lasts until the function
// that inject returns is called.
type fault struct {
	name   string
	inject func(sim *simulation, at *node) (end func())
}

// toggle returns an inject function that calls change with on set to true at
// the start of the fault and to false at its end.
func toggle(change func(sim *simulation, at *node, on bool)) func(*simulation, *node) func() {
	return func(sim *simulation, at *node) func() {
		sim.set(func() { change(sim, at, true) })
		return func() { sim.set(func() { change(sim, at, false) }) }
	}
}

func cutLinks(pairs ...[2]string) func(*simulation, *node) func() {
	return toggle(func(sim *simulation, _ *node, on bool) {
		for _, p := range pairs {
			sim.cut[p] = on
		}
	})
}

func delayLog(name func(at *node) string, d time.Duration) func(*simulation, *node) func() {
	return toggle(func(sim *simulation, at *node, on bool) {
		if sim.logDelay[name(at)] = d; !on {
			delete(sim.logDelay, name(at))
		}
	})
}

func logOutage(names func(at *node) []string) func(*simulation, *node) func() {
	return toggle(func(sim *simulation, at *node, on bool) {
		for _, name := range names(at) {
			if sim.logDown[name] = true; !on {
				delete(sim.logDown, name)
			}
		}
	})
}

// killAndReplace kills the node and starts its successor when the fault ends.
func killAndReplace(successor func(n *node) (instance, addr string)) func(*simulation, *node) func() {
	return func(sim *simulation, at *node) func() {
		at.kill()
		return func() {
			instance, addr := successor(at)
			sim.startNode(instance, at.dc, addr)
		}
	}
}

func everyNode(*node) string         { return "all" }
func thisNode(at *node) string       { return at.instance }
func everyNodeList(*node) []string   { return []string{"all"} }
func thisNodeList(at *node) []string { return []string{at.instance} }

// region1 holds data centres a and b, region2 holds c.
var regionCut = [][2]string{{"a", "c"}, {"b", "c"}}

var faults = []fault{
	{"F1 killed and restarted", killAndReplace(func(n *node) (string, string) { return n.instance, n.addr })},
	{"F3 replaced under the same address", killAndReplace(func(n *node) (string, string) { return n.instance + "r", n.addr })},
	{"F3 replaced under a new address", killAndReplace(func(n *node) (string, string) { return n.instance + "n", n.addr + "n" })},
	{"F6 log down for all", logOutage(everyNodeList)},
	{"F6 log down for one instance", logOutage(thisNodeList)},
	{"F6 log slow for all, 2.5 s", delayLog(everyNode, 1250*time.Millisecond)},
	{"F6 log slow for all, 8 s", delayLog(everyNode, 4*time.Second)},
	{"F6 log slow for one instance, 8 s", delayLog(thisNode, 4*time.Second)},
	{"F6 reads slow, then the log down right after an append", func(sim *simulation, at *node) func() {
		restoreLog := func() {}
		sim.set(func() {
			sim.readDelay = time.Second
			sim.onAppendConfirmed = func() { restoreLog = logOutage(everyNodeList)(sim, at) }
		})
		return func() {
			sim.set(func() { sim.readDelay, sim.onAppendConfirmed = 0, nil })
			restoreLog()
		}
	}},
	{"F7 append answers lost", toggle(func(sim *simulation, _ *node, on bool) { sim.loseAppendAnswers = on })},
	{"F8 paused", func(_ *simulation, at *node) func() { at.pause(6 * time.Second); return func() {} }},
	{"F9 conflicting operators", func(sim *simulation, _ *node) func() { sim.publishConflict(); return func() {} }},
	{"F11 connections of one instance silent", toggle(func(sim *simulation, at *node, on bool) { sim.cut[[2]string{at.instance, "all"}] = on })},
	{"F12 list omits every instance", toggle(func(sim *simulation, _ *node, on bool) { sim.listEmpty = on })},
	{"F12 list keeps killed instances", toggle(func(sim *simulation, _ *node, on bool) { sim.listKeepsKilled = on })},
	{"F18 answers to one instance late, then the instance is cut off", func(sim *simulation, at *node) func() {
		restoreLog := logOutage(thisNodeList)(sim, at)
		sim.set(func() { sim.answerDelay[at.instance] = 1800 * time.Millisecond })
		time.Sleep(6 * time.Second)
		restoreLinks := cutLinks([2]string{at.instance, "all"})(sim, at)
		return func() {
			sim.set(func() { delete(sim.answerDelay, at.instance) })
			restoreLog()
			restoreLinks()
		}
	}},
	{"F13 links of a data centre cut", cutLinks([2]string{"a", "b"}, [2]string{"a", "c"})},
	{"F13 data centre cut off with its log", func(sim *simulation, at *node) func() {
		restoreLinks := cutLinks([2]string{"a", "b"}, [2]string{"a", "c"})(sim, at)
		restoreLog := logOutage(func(*node) []string { return []string{"a"} })(sim, at)
		return func() { restoreLinks(); restoreLog() }
	}},
	{"F13 region cut off from the log", func(sim *simulation, at *node) func() {
		restoreLinks := cutLinks(regionCut...)(sim, at)
		restoreLog := logOutage(func(*node) []string { return []string{"a", "b"} })(sim, at)
		return func() { restoreLinks(); restoreLog() }
	}},
	{"F13 data centre cut off, taken out and back", func(sim *simulation, at *node) func() {
		restoreLinks := cutLinks([2]string{"b", "a"}, [2]string{"b", "c"})(sim, at)
		restoreLog := logOutage(func(*node) []string { return []string{"b"} })(sim, at)
		time.Sleep(time.Second)
		sim.publishEntry("data_centres", "b", `{"region":"r1","state":"out"}`)
		return func() {
			restoreLinks()
			restoreLog()
			sim.publishEntry("data_centres", "b", `{"region":"r1","state":"in"}`)
		}
	}},
	{"F13 data centre out and back", func(sim *simulation, _ *node) func() {
		sim.publishEntry("data_centres", "b", `{"region":"r1","state":"out"}`)
		return func() { sim.publishEntry("data_centres", "b", `{"region":"r1","state":"in"}`) }
	}},
	{"F17 records expire before a new instance reads them", func(sim *simulation, at *node) func() {
		sim.log.SetFaults(standin.LogFaults{Retain: fillerRecords})
		at.kill()
		return func() { sim.startNode(at.instance, at.dc, at.addr) }
	}},
	{"F18 messages duplicated and reordered", toggle(func(sim *simulation, _ *node, on bool) {
		sim.duplicate, sim.reorder = on, 0
		if on {
			sim.reorder = 800 * time.Millisecond
		}
	})},
}
