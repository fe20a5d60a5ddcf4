package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Phases of one cell: the fleet forms, the fault starts at a step and lasts,
// and the fleet recovers. recoveryTime is the sum of the specified intervals:
// the silence after which a member is removed, the pause before it rejoins and
// the retry of its parent.
const (
	formTime     = 10 * time.Second
	faultTime    = 12 * time.Second
	recoveryTime = 100 * time.Second
	keyCount     = 24
	// fillerRecords is the number of records before the first join, and the number
	// of records that the log keeps under F17. That is enough for the slowest
	// reader, but too few for a new instance.
	fillerRecords = 60
)

// publishEntry publishes one change of the configuration, like an operator
// outside the fleet who waits until the log is up.
func (sim *simulation) publishEntry(section, id, value string) {
	for sim.logIsDown() {
		time.Sleep(100 * time.Millisecond)
	}
	change := record.ConfigChange{Base: sim.version(), Changes: []record.EntryChange{
		{Section: record.Section(section), ID: id, Value: json.RawMessage(value)},
	}}
	sim.publishChange(change)
}

func (sim *simulation) publishChange(change record.ConfigChange) {
	e, _ := record.New("operator", 0, change)
	data, _ := e.Encode()
	_, _ = sim.append("control", []json.RawMessage{data})
}

func (sim *simulation) version() backing.Offset {
	sim.history.mu.Lock()
	defer sim.history.mu.Unlock()
	return sim.history.liveModel.version
}

// publishConflict publishes two changes on the same base. The second has no
// effect.
func (sim *simulation) publishConflict() {
	if sim.logIsDown() {
		return
	}
	base := sim.version()
	for i := range 2 {
		sim.publishChange(record.ConfigChange{Base: base, Changes: []record.EntryChange{
			{Section: record.SectionKeys, ID: fmt.Sprintf("x%d", i), Value: json.RawMessage(fmt.Sprintf(`{"team":"t","sha256":"x%d"}`, i))},
		}})
	}
}

// publishInitialConfig publishes the data centres, a team, its keys and the
// filler records.
func (sim *simulation) publishInitialConfig() {
	changes := []record.EntryChange{
		{Section: record.SectionDataCentres, ID: "a", Value: json.RawMessage(`{"region":"r1"}`)},
		{Section: record.SectionDataCentres, ID: "b", Value: json.RawMessage(`{"region":"r1"}`)},
		{Section: record.SectionDataCentres, ID: "c", Value: json.RawMessage(`{"region":"r2"}`)},
		{Section: record.SectionTeams, ID: "t", Value: json.RawMessage(`{"rate_tokens_per_s":1,"burst_tokens":9}`)},
	}
	for i := range keyCount {
		changes = append(changes, record.EntryChange{Section: record.SectionKeys, ID: fmt.Sprintf("k%d", i), Value: json.RawMessage(fmt.Sprintf(`{"team":"t","sha256":"s%d"}`, i))})
	}
	sim.publishChange(record.ConfigChange{Changes: changes})
	for range fillerRecords {
		sim.publishEntry("teams", "t", `{"rate_tokens_per_s":1,"burst_tokens":9}`)
	}
}

// withdrawKeys withdraws one key after the other, alternately from outside the
// fleet and through an instance.
func (sim *simulation) withdrawKeys(ctx context.Context) {
	for i := range keyCount {
		sim.mu.Lock()
		pause := time.Duration(sim.rand.Int64N(int64(2 * time.Second)))
		instance := fmt.Sprintf("%c%d", 'a'+sim.rand.IntN(3), sim.rand.IntN(4))
		n := sim.nodes[instance]
		sim.mu.Unlock()
		if sleep(ctx, pause) != nil {
			return
		}
		change := record.ConfigChange{Base: sim.version(), Changes: []record.EntryChange{{Section: record.SectionKeys, ID: fmt.Sprintf("k%d", i)}}}
		if sim.logIsDown() {
			continue
		}
		if i%2 == 0 || n == nil {
			sim.publishChange(change)
			continue
		}
		sim.wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_, _, _ = n.replica.AppendAs(ctx, "operator", change)
		})
	}
}

func (sim *simulation) logIsDown() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.logDown["all"]
}

// cellResult is the result of one cell of the fault matrix.
type cellResult struct {
	violations map[string][]string
	stepCounts map[step]int
	injected   int
}

// runCell simulates one cell. The first fault starts at the trigger step, the
// second one halfway through the first.
func runCell(t *testing.T, seed uint64, trigger step, disabled disabledRules, faults ...fault) (res cellResult) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, seed, disabled)
		sim.formFleet(4, 4, 4)
		var faultEnds sync.WaitGroup
		sim.onTrigger = func(n *node) {
			res.injected++
			for i, f := range faults {
				faultEnds.Go(func() {
					time.Sleep(time.Duration(i) * faultTime / 2)
					end := f.inject(sim, n)
					time.Sleep(faultTime)
					end()
				})
			}
		}
		sim.set(func() { sim.trigger, sim.armed = trigger, true })
		sim.wg.Go(func() { sim.withdrawKeys(ctx) })
		time.Sleep(3 * time.Second)
		sim.provokeTrigger()
		time.Sleep(3 * faultTime)
		faultEnds.Wait()
		time.Sleep(recoveryTime)
		res.violations = sim.history.check()
		sim.checkConverged(res.violations)
		res.stepCounts = sim.stepCounts
		cancel()
		sim.wg.Wait()
	})
	return res
}

// formFleet publishes the configuration and starts data centres with the given
// numbers of instances.
func (sim *simulation) formFleet(sizes ...int) {
	sim.publishInitialConfig()
	for i, size := range sizes {
		dc := string(rune('a' + i))
		for j := range size {
			name := fmt.Sprintf("%s%d", dc, j)
			sim.startNode(name, dc, name)
		}
	}
	time.Sleep(formTime)
}

// provokeTrigger causes a rare step if the fault still waits for it: a log
// outage causes calls of Status, an instance that is killed and not replaced
// causes reads of the list, and a new instance that cannot reach the log causes
// calls of Snapshot.
func (sim *simulation) provokeTrigger() {
	sim.mu.Lock()
	armed, s := sim.armed, sim.trigger
	sim.mu.Unlock()
	if !armed {
		return
	}
	switch s.method {
	case "Status":
		end := logOutage(everyNodeList)(sim, nil)
		time.Sleep(2 * time.Second)
		end()
	case "List":
		sim.nodes["c3"].kill()
		time.Sleep(15 * time.Second)
	case "Snapshot":
		end := logOutage(func(*node) []string { return []string{"c9"} })(sim, nil)
		sim.startNode("c9", "c", "c9")
		time.Sleep(3 * time.Second)
		end()
	}
}

// checkConverged adds a violation for every live instance that does not work or
// does not have the newest configuration version of the log (H15).
func (sim *simulation) checkConverged(violations map[string][]string) {
	version := sim.version()
	for _, n := range sim.nodes {
		v := n.replica.View()
		if !n.dead() && (v.ConfigVersion != version || !n.replica.MayWork()) {
			violations["H15"] = append(violations["H15"], fmt.Sprintf("%s ends with version %d of %d, refusal %q, offset %d", n.instance, v.ConfigVersion, version, n.replica.Refusal(), v.Offset))
		}
	}
}
