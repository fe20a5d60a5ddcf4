package quarantine

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Timing of a crashFleet, in virtual time.
const (
	// crashDelay is how long an upstream runs a request before the request crashes it.
	crashDelay = 100 * time.Millisecond
	// reportDelay is how long a report takes to reach the other instances.
	reportDelay = 200 * time.Millisecond
	// contactTime is after how long all instances act on the third crash.
	contactTime = 3 * time.Second
	// maxLate is how many more requests may reach upstreams.
	maxLate = 3
)

// crashFleet is a number of instances that exchange reports, and upstreams that crash under
// some requests.
type crashFleet struct {
	tables []*Table
	// cold, begun and distinct describe the crashes: of upstreams that have just started,
	// after the answer had begun, and by requests that only share a part.
	cold, begun, distinct bool

	mu       sync.Mutex
	sent     int
	arrivals []time.Time
	crashes  []time.Time
}

func newCrashFleet(instances int) *crashFleet {
	f := &crashFleet{}
	for i := range instances {
		t := NewTable()
		t.SetInstances(i, instances)
		f.tables = append(f.tables, t)
	}
	return f
}

// send handles a request that crashes upstreams at one instance.
func (f *crashFleet) send(instance int) {
	f.mu.Lock()
	f.sent++
	n := f.sent
	f.mu.Unlock()
	digest := "same"
	if f.distinct {
		digest = fmt.Sprint("request", n)
	}
	suspects := request(digest, "first", "harmful", "own"+digest)
	table := f.tables[instance]
	if _, _, refused := table.Check(uint64(n), suspects); refused {
		return
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, time.Now())
	f.mu.Unlock()
	time.Sleep(crashDelay)
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	table.RecordCrash(fmt.Sprint("u", n), f.cold, f.begun, suspects)
	time.Sleep(reportDelay)
	report := table.Report()
	for i, other := range f.tables {
		if i != instance {
			other.SetReport(fmt.Sprint("entry-", instance), report)
		}
	}
}

// late returns how many requests reached upstreams later than contactTime after the third
// crash.
func (f *crashFleet) late() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	const third = 2
	if len(f.crashes) <= third {
		return 0
	}
	late := 0
	for _, at := range f.arrivals {
		if at.After(f.crashes[third].Add(contactTime)) {
			late++
		}
	}
	return late
}

// TestCrashingRequestIsSentAgain guards against a request that its caller sends again and
// again, at all instances, and that goes on crashing upstreams after the third: because a
// quarantine ends at all instances at once, or since crashes of cold upstreams, or after the
// answer had begun, count less.
func TestCrashingRequestIsSentAgain(t *testing.T) {
	for _, instances := range []int{1, 4, 28, 100} {
		for name, interval := range map[string]func(sent int) time.Duration{
			"often":           func(int) time.Duration { return 50 * time.Millisecond },
			"seldom":          func(int) time.Duration { return time.Second },
			"rarely":          func(int) time.Duration { return 4 * time.Second },
			"seldom at first": func(sent int) time.Duration { return max(10*time.Millisecond, time.Second/time.Duration(1+sent/4)) },
		} {
			for variant := range 8 {
				cold, begun, distinct := variant&1 > 0, variant&2 > 0, variant&4 > 0
				if distinct && (cold || begun) {
					continue // parts of different requests need more evidence
				}
				t.Run(fmt.Sprintf("instances=%d/%s/cold=%t/begun=%t/distinct=%t", instances, name, cold, begun, distinct), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newCrashFleet(instances)
						f.cold, f.begun, f.distinct = cold, begun, distinct
						var wg sync.WaitGroup
						for i, start := 0, time.Now(); time.Since(start) < 2*time.Minute; i++ {
							wg.Go(func() { f.send(i % instances) })
							time.Sleep(interval(i))
						}
						wg.Wait()
						t.Logf("%d arrivals, %d late, %d crashes", len(f.arrivals), f.late(), len(f.crashes))
						is.New(t).True(f.late() <= maxLate)
					})
				})
			}
		}
	}
}

// TestHarmlessPartIsRefusedAfterTrial guards against a part that goes on being refused, or is
// let through by all instances at once, after a request with it has completed at one.
func TestHarmlessPartIsRefusedAfterTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		f := newCrashFleet(4)
		for i := range 3 {
			f.tables[0].RecordCrash(fmt.Sprint("u", i), false, false, request(fmt.Sprint("b", i), "first", "harmless"))
		}
		publish := func() {
			for i, from := range f.tables {
				for j, to := range f.tables {
					if i != j {
						to.SetReport(fmt.Sprint("entry-", i), from.Report())
					}
				}
			}
			settle()
		}
		publish()
		for _, table := range f.tables {
			check.True(quarantined(table, request("s", "first", "harmless")))
		}
		time.Sleep(durations[0])
		var admitted []int
		for end := time.Now().Add(trialTurn); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for i, table := range f.tables {
				f.sent++
				if _, _, refused := table.Check(uint64(100+f.sent), request("s", "first", "harmless")); !refused {
					admitted = append(admitted, i)
				}
			}
		}
		check.True(len(admitted) >= 1 && len(admitted) <= 2) // one in each turn that began
		f.tables[admitted[0]].RecordComplete(request("s", "first", "harmless"))
		publish()
		for _, table := range f.tables {
			check.True(!quarantined(table, request("s2", "first", "harmless")))
		}
	})
}
