package operator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// disabledRules selects the safety rules that a negative control runs without.
type disabledRules struct {
	baseCheck    bool
	confirmation bool
}

// simulation is one run of three operators on a log, with a record of their
// attempts and of the versions that entered the stream.
type simulation struct {
	disabled disabledRules
	log      *recordingLog
	random   *rand.Rand
	// recoveries tracks the goroutines that end the faults.
	recoveries sync.WaitGroup
	// latencyNs is the latency of every log call in nanoseconds. extraLatency, by
	// operator name, is added to it.
	latencyNs    atomic.Int64
	extraLatency map[string]time.Duration

	mu           sync.Mutex
	attempts     []publishAttempt
	reachedSteps map[Step]bool
	lastChangeID float64
}

func newSimulation(seed uint64, r disabledRules) *simulation {
	log := &recordingLog{Log: standin.NewLog(), overrideBase: r.baseCheck, appendLock: make(chan struct{}, 1), view: controlstate.Empty()}
	sim := &simulation{
		disabled: r, log: log, random: rand.New(rand.NewPCG(seed, 1)),
		extraLatency: make(map[string]time.Duration), reachedSteps: make(map[Step]bool),
	}
	sim.latencyNs.Store(int64(baseLatency))
	for i := range operators {
		sim.extraLatency[operatorName(i)] = time.Duration(sim.random.IntN(1_000_000))
	}
	return sim
}

func operatorName(i int) string { return fmt.Sprintf("op-%d", i) }

const (
	baseLatency        = 3 * time.Millisecond
	operationTimeout   = 20 * time.Second
	changesPerOperator = 3
	sharedTeam         = "shared"
)

// runOperator makes changesPerOperator changes. If the client was killed or the
// outcome is unknown, the operator repeats the same publication once with a new
// client.
func (sim *simulation) runOperator(name string, pause func() time.Duration, onStep func(Step)) {
	for round := range changesPerOperator {
		time.Sleep(pause())
		first := sim.runAttempt(name, onStep, func(view *controlstate.View) ([]record.EntryChange, publishAttempt) {
			return sim.buildChanges(view, name, round)
		})
		if first.outcome == outcomeKilled || first.outcome == outcomeUncertain {
			sim.runAttempt(name, onStep, func(*controlstate.View) ([]record.EntryChange, publishAttempt) { return first.changes, first })
		}
	}
}

// runAttempt runs one publication in its own goroutine, because the kill fault
// ends the goroutine.
func (sim *simulation) runAttempt(name string, onStep func(Step), buildChanges func(*controlstate.View) ([]record.EntryChange, publishAttempt)) publishAttempt {
	attempt := publishAttempt{operator: name, outcome: outcomeKilled}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sim.publish(&attempt, onStep, buildChanges)
	}()
	<-done
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.attempts = append(sim.attempts, attempt)
	return attempt
}

func (sim *simulation) publish(attempt *publishAttempt, onStep func(Step), buildChanges func(*controlstate.View) ([]record.EntryChange, publishAttempt)) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	client := NewStreamClient(&delayedLog{Log: sim.log, sim: sim, extraLatency: sim.extraLatency[attempt.operator]}, ClientSettings{Name: attempt.operator, LoadSnapshot: sim.loadSnapshot})
	client.onStep = func(s Step) {
		sim.mu.Lock()
		sim.reachedSteps[s] = true
		sim.mu.Unlock()
		onStep(s)
	}
	var stream Stream = client
	if sim.disabled.confirmation {
		stream = unconfirmedStream{client}
	}
	p := NewPublisher(stream, client)
	p.skipBaseCheck = sim.disabled.baseCheck
	if client.Refresh(ctx) != nil {
		attempt.outcome = outcomeRefused
		return
	}
	changes, built := buildChanges(client.View())
	built.changes, built.outcome = changes, outcomeKilled
	*attempt = built
	got, err := p.Publish(ctx, attempt.base, changes, "test", attempt.operator)
	attempt.version, attempt.unchanged = got.Version, got.Unchanged
	attempt.outcome = outcomeOf(err)
}

// buildChanges returns changes that increment the counter in the shared team's
// weight and add a team that is unique to this change. If there is no pool, they
// also add it. If there is a pool but no model, op-1 deletes the pool and op-2,
// from its second change on, adds a model to it.
func (sim *simulation) buildChanges(view *controlstate.View, name string, round int) ([]record.EntryChange, publishAttempt) {
	team, _ := view.Teams.Get(sharedTeam)
	attempt := publishAttempt{operator: name, base: view.ConfigVersion, changeID: sim.newChangeID()}
	counterChange, _ := putChange(record.SectionTeams, sharedTeam, config.Team{RateTokensPerS: 1, BurstTokens: 1, Weight: team.Weight + 1})
	uniqueTeam, _ := putChange(record.SectionTeams, fmt.Sprintf("mark-%v", attempt.changeID), config.Team{RateTokensPerS: attempt.changeID, BurstTokens: attempt.changeID})
	changes := []record.EntryChange{counterChange, uniqueTeam}
	_, hasPool := view.Pools.Get("pool")
	switch {
	case !hasPool:
		pool, _ := putChange(record.SectionPools, "pool", config.Pool{Kind: config.PoolEngine, MemoryMiB: 9})
		changes = append(changes, pool)
	case name == "op-1" && view.Models.Len() == 0:
		changes = append(changes, record.EntryChange{Section: record.SectionPools, ID: "pool"})
	case name == "op-2" && view.Models.Len() == 0 && round > 0:
		model, _ := putChange(record.SectionModels, "model", config.Model{Pool: "pool", MemoryMiB: 1})
		changes = append(changes, model)
	}
	return changes, attempt
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return outcomeAccepted
	case errkind.From(err).Ran == errkind.RanNo:
		return outcomeRefused
	default:
		return outcomeUncertain
	}
}

func (sim *simulation) newChangeID() float64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lastChangeID++
	return sim.lastChangeID
}

// loadSnapshot replaces the snapshot stream, which lags behind the records.
func (sim *simulation) loadSnapshot(ctx context.Context, _ backing.Log) (*controlstate.View, error) {
	sim.log.appendLock <- struct{}{}
	defer func() { <-sim.log.appendLock }()
	return sim.log.snapshot, ctx.Err()
}

func (sim *simulation) callLatency() time.Duration { return time.Duration(sim.latencyNs.Load()) }
