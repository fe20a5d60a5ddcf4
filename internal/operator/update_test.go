package operator

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

// TestConcurrentKeyChanges checks the publish part of H6 and F9: no issued key and
// no withdrawal is lost to a conflict while operators issue and withdraw keys at
// the same time, with and without lost answers.
func TestConcurrentKeyChanges(t *testing.T) {
	const keysPerOperator = 4
	for _, faults := range []standin.LogFaults{{}, {LoseResponses: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(matrixSeed, disabledRules{})
			first, _ := newTestPublisher(t, sim.log)
			_, err := first.Publish(t.Context(), 0, teamChange("t", validTeam), "", "ann")
			is.NoErr(err)
			sim.log.SetFaults(faults)
			var mu sync.Mutex
			issued := make(map[string]bool)
			var wg sync.WaitGroup
			for i := range operators {
				name := operatorName(i)
				client := NewStreamClient(&delayedLog{Log: sim.log, sim: sim, extraLatency: sim.extraLatency[name]}, ClientSettings{Name: name})
				is.NoErr(client.Refresh(t.Context()))
				p := NewPublisher(client, client)
				wg.Go(func() {
					for n := range keysPerOperator {
						key, err := p.IssueKey(t.Context(), "t", "", name)
						if err != nil {
							t.Errorf("issue: %v", err)
							return
						}
						time.Sleep(time.Millisecond)
						withdraw := n%2 == 0
						if withdraw {
							if _, err := p.WithdrawKey(t.Context(), key.ID, "", name); err != nil {
								t.Errorf("withdraw: %v", err)
							}
						}
						mu.Lock()
						issued[key.ID] = !withdraw
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			is.Equal(len(issued), operators*keysPerOperator)
			final := sim.log.view
			for id, wantPresent := range issued {
				_, ok := final.Keys.Get(id)
				is.Equal(ok, wantPresent) // an issued key or a withdrawal was lost
			}
			is.Equal(final.Keys.Len(), operators*keysPerOperator/2)
			page, err := sim.log.Read(t.Context(), record.ControlStream, 0, 1000, 0)
			is.NoErr(err)
			rejected := len(page.Records) - len(sim.log.observations)
			is.True(rejected > 0) // no changes conflicted
			t.Logf("%d keys issued, %d versions, %d rejected changes", len(issued), len(sim.log.observations), rejected)
		})
	}
}
