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

// TestKeysInRaces proves the publish part of H6 and F9: while operators issue
// and withdraw keys at the same time, also with lost answers, no withdrawal
// and no issue is lost to a conflict.
func TestKeysInRaces(t *testing.T) {
	const each = 4
	for _, faults := range []standin.LogFaults{{}, {LoseResponses: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(matrixSeed, rules{})
			first, _ := desk(t, w.log)
			_, err := first.Publish(t.Context(), 0, teamChange("t", goodTeam), "", "ann")
			is.NoErr(err)
			w.log.SetFaults(faults)
			var mu sync.Mutex
			issued := make(map[string]bool)
			var wg sync.WaitGroup
			for i := range operators {
				name := operatorName(i)
				client := NewStreamClient(&link{Log: w.log, w: w, extra: w.extra[name]}, ClientSettings{Name: name})
				is.NoErr(client.Refresh(t.Context()))
				p := NewPublisher(client, client)
				wg.Go(func() {
					for n := range each {
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
			is.Equal(len(issued), operators*each)
			last := w.log.view
			for id, inForce := range issued {
				_, ok := last.Keys.Get(id)
				is.Equal(ok, inForce) // an issue or a withdrawal was lost
			}
			is.Equal(last.Keys.Len(), operators*each/2)
			page, err := w.log.Read(t.Context(), record.ControlStream, 0, 1000, 0)
			is.NoErr(err)
			void := len(page.Records) - len(w.log.seen)
			is.True(void > 0) // the operators never met
			t.Logf("%d keys issued, %d versions, %d void changes", len(issued), len(w.log.seen), void)
		})
	}
}
