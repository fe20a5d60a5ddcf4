package operator

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// scheduledFault is a fault that is injected the next time op-0 reaches the step.
type scheduledFault struct {
	step  Step
	fault fault
}

const (
	matrixSeed = 20261204
	operators  = 3
)

// faultSchedules returns the empty schedule, every fault at every step, and every
// ordered pair of these, including the same fault twice.
func faultSchedules() [][]scheduledFault {
	var single []scheduledFault
	for _, s := range Steps() {
		for _, f := range faults {
			single = append(single, scheduledFault{s, f})
		}
	}
	out := [][]scheduledFault{nil}
	for _, a := range single {
		out = append(out, []scheduledFault{a})
		for _, b := range single {
			out = append(out, []scheduledFault{a, b})
		}
	}
	return out
}

// simulate runs one simulation in which op-0 gets the faults while op-1 and op-2
// publish concurrently.
func simulate(seed uint64, r disabledRules, schedule []scheduledFault) *simulation {
	sim := newSimulation(seed, r)
	var wg sync.WaitGroup
	for i := range operators {
		onStep := func(Step) {}
		if i == 0 {
			onStep = sim.faultInjector(schedule)
		}
		delays := []time.Duration{}
		for range changesPerOperator {
			delays = append(delays, time.Duration(sim.random.IntN(8_000_000))+time.Microsecond)
		}
		pause := func() time.Duration {
			d := delays[0]
			delays = delays[1:]
			return d
		}
		wg.Go(func() { sim.runOperator(operatorName(i), pause, onStep) })
	}
	wg.Wait()
	sim.recoveries.Wait()
	return sim
}

// faultInjector returns a step hook that injects the faults of schedule in order.
func (sim *simulation) faultInjector(schedule []scheduledFault) func(Step) {
	return func(s Step) {
		if len(schedule) == 0 || schedule[0].step != s {
			return
		}
		f := schedule[0].fault
		schedule = schedule[1:]
		f.apply(sim)
	}
}

// findViolations checks the outcomes that operators got against the versions that
// entered the stream. It uses only the attempts and observations, none of the
// publisher's logic.
func findViolations(attempts []publishAttempt, observations []observation) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	attemptsByChange := make(map[float64][]publishAttempt)
	for _, a := range attempts {
		attemptsByChange[a.changeID] = append(attemptsByChange[a.changeID], a)
	}
	firstObserved := make(map[float64]observation)
	previous := observation{}
	for _, current := range observations {
		if current.counter != previous.counter+1 {
			report("version %d has counter %v after %v", current.version, current.counter, previous.counter)
		}
		if current.danglingModel {
			report("version %d has a model whose pool does not exist", current.version)
		}
		for changeID := range previous.changeIDs {
			if !current.changeIDs[changeID] {
				report("version %d reverts change %v", current.version, changeID)
			}
		}
		for changeID := range maps.Keys(current.changeIDs) {
			if previous.changeIDs[changeID] {
				continue
			}
			firstObserved[changeID] = current
			if attemptsByChange[changeID][0].base != previous.version {
				report("version %d follows version %d, which its author had not seen", current.version, previous.version)
			}
		}
		previous = current
	}
	for changeID, attemptsOfChange := range attemptsByChange {
		if changeID == 0 {
			continue // The attempt ended before it built a change.
		}
		o, applied := firstObserved[changeID]
		mayHaveApplied := false
		for _, a := range attemptsOfChange {
			mayHaveApplied = mayHaveApplied || a.outcome != outcomeRefused
			if a.outcome == outcomeAccepted && (!applied || a.version < o.version || !a.unchanged && a.version != o.version) {
				report("change %v was accepted as version %d, but was first observed in version %d", changeID, a.version, o.version)
			}
		}
		if applied && !mayHaveApplied {
			report("change %v was refused but took effect", changeID)
		}
	}
	return violations
}

// TestPublishMatrix checks the publish part of H15 under F7, F9, F17 and kills:
// an accepted change takes effect and is never undone by an operator who had not
// seen it, and a refused change never takes effect. As negative controls, some
// schedules must fail without the base-version check, and without the
// confirmation of appends whose answer was lost.
func TestPublishMatrix(t *testing.T) {
	cases := []struct {
		name      string
		disabled  disabledRules
		wantClean bool
	}{
		{"all rules on", disabledRules{}, true},
		{"base-version check off", disabledRules{baseCheck: true}, false},
		{"confirmation off", disabledRules{confirmation: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			failedRuns, firstFailure, outcomes := 0, "", make(map[string]int)
			reachedSteps := make(map[Step]bool)
			schedules := faultSchedules()
			for i, schedule := range schedules {
				synctest.Test(t, func(t *testing.T) {
					sim := simulate(matrixSeed+uint64(i), c.disabled, schedule)
					violations := findViolations(sim.attempts, sim.log.observations)
					if len(violations) > 0 {
						failedRuns++
						firstFailure = fmt.Sprint(schedule, violations)
					}
					maps.Copy(reachedSteps, sim.reachedSteps)
					for _, a := range sim.attempts {
						outcomes[a.outcome]++
					}
				})
			}
			t.Logf("%d of %d fault schedules with violations, outcomes %v, seed %d", failedRuns, len(schedules), outcomes, matrixSeed)
			is.Equal(failedRuns == 0, c.wantClean) // rules on: a violation was found; off: none was found
			if c.wantClean {
				is.Equal(firstFailure, "")
				is.Equal(len(reachedSteps), len(Steps())) // a step was never reached
				for _, outcome := range []string{outcomeAccepted, outcomeRefused, outcomeUncertain, outcomeKilled} {
					is.True(outcomes[outcome] > 0) // an outcome never occurred
				}
			}
		})
	}
}

// TestTraceReproducible checks that a seed always gives the same trace, so that a
// failed schedule can be reproduced from its seed.
func TestTraceReproducible(t *testing.T) {
	for i, schedule := range faultSchedules()[:200] {
		var traces [2][]publishAttempt
		for j := range traces {
			synctest.Test(t, func(*testing.T) { traces[j] = simulate(matrixSeed+uint64(i), disabledRules{}, schedule).attempts })
		}
		is.New(t).Equal(traces[0], traces[1])
	}
}
