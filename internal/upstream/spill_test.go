package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/spill"
)

// spillLoad is a load of three data centres in virtual time.
type spillLoad struct {
	// upstreams, entries and rates (requests a second) are by data centre.
	upstreams, entries [3]int
	rates              [3]float64
	// reportAge is the interval of the reports, and lossFrom0 the part of the requests from
	// data centre 0 to others that fail.
	reportAge time.Duration
	lossFrom0 float64
	seed      uint64
	// change is called after half of the run.
	change func(*fleet.View, *spillLoad)
}

// spillAttempt is an attempt at an upstream until it ends.
type spillAttempt struct {
	ticket   *Ticket
	upstream string
	until    time.Time
}

// spillResult has the share of requests that left each data centre in each half, and the part
// of all that found no free place.
type spillResult struct {
	left   [2][3]float64
	waited [2]float64
	failed float64
}

const (
	spillPlaces   = 6
	spillWorkTime = 100 * time.Millisecond
	spillHalf     = 6 * time.Second
)

// run plays the load with the weight.
func (l spillLoad) run(weight float64) (out spillResult) {
	v := &fleet.View{
		Upstreams: make(map[string]*fleet.Upstream), Evacuated: make(map[string]bool), Members: make(map[string]fleet.Member),
		Config: &fleet.Config{Services: map[string]fleet.Service{"p": {Name: "p"}}},
	}
	running := make(map[string]int)
	for dc := range 3 {
		for i := range l.upstreams[dc] {
			id := fmt.Sprintf("z%d-%d", dc, i)
			v.Upstreams[id] = &fleet.Upstream{ID: id, StartedAtMS: 1, Service: "p", Addr: id, DataCentre: fmt.Sprint("z", dc), Capacity: spillPlaces}
		}
		for i := range l.entries[dc] {
			name := fmt.Sprintf("e%d-%d", dc, i)
			v.Members[name] = fleet.Member{Name: name, Role: fleet.RoleEntry, DataCentre: fmt.Sprint("z", dc)}
		}
	}
	var pools [3][]*Pool
	for dc := range 3 {
		for i := range l.entries[dc] {
			p := NewPool(fmt.Sprintf("e%d-%d", dc, i), fmt.Sprint("z", dc), Bounds{SpillWeight: weight})
			p.Update(v)
			pools[dc] = append(pools[dc], p)
		}
	}
	random, start, reported := rand.New(rand.NewPCG(l.seed, 2)), time.Now(), time.Time{}
	var sent, left [2][3]float64
	var waited, failed, all [2]float64
	var attempts []spillAttempt
	for time.Since(start) < 2*spillHalf {
		half := int(time.Since(start) / spillHalf)
		if half == 1 && l.change != nil {
			l.change(v, &l)
			for _, p := range append(append(pools[0], pools[1]...), pools[2]...) {
				p.Update(v)
			}
			l.change = nil
		}
		if time.Since(reported) >= l.reportAge {
			reported = time.Now()
			for id := range v.Upstreams {
				for _, p := range append(append(pools[0], pools[1]...), pools[2]...) {
					n := running[id]
					p.UpdateAgentState(id, &agentapi.State{Reachable: true, StartedAtMS: 1, Running: min(n, spillPlaces), Queued: max(0, n-spillPlaces)}, reported)
				}
			}
		}
		for dc := range 3 {
			for n := l.rates[dc] / 1000; random.Float64() < n; n-- {
				p := pools[dc][random.IntN(len(pools[dc]))]
				q := &Query{Service: "p", Repeatable: true, Objective: objective, Bytes: 9000, Tried: make(map[string]bool)}
				c, _ := p.Pick(q)
				if c == nil {
					failed[half]++
					continue
				}
				t, _ := p.Begin(c, q)
				crosses := c.Upstream.DataCentre != fmt.Sprint("z", dc)
				sent[half][dc]++
				all[half]++
				if crosses {
					left[half][dc]++
				}
				if crosses && dc == 0 && random.Float64() < l.lossFrom0 {
					failed[half]++
					t.End(Broken)
					continue
				}
				if running[c.Upstream.ID]++; running[c.Upstream.ID] > spillPlaces {
					waited[half]++
				}
				attempts = append(attempts, spillAttempt{t, c.Upstream.ID, time.Now().Add(spillWorkTime)})
			}
		}
		time.Sleep(time.Millisecond)
		for len(attempts) > 0 && !attempts[0].until.After(time.Now()) {
			running[attempts[0].upstream]--
			attempts[0].ticket.End(Served)
			attempts = attempts[1:]
		}
	}
	for half := range 2 {
		for dc := range 3 {
			out.left[half][dc] = left[half][dc] / max(1, sent[half][dc])
		}
		out.waited[half] = waited[half] / all[half]
	}
	out.failed = (failed[0] + failed[1]) / (all[0] + all[1])
	return out
}

// mean plays the load with several seeds and returns the means.
func (l spillLoad) mean(t *testing.T, weight float64) (left, waited [2]float64, failed float64) {
	const seeds = 8
	for seed := range uint64(seeds) {
		synctest.Test(t, func(*testing.T) {
			load := l
			load.seed = seed
			r := load.run(weight)
			for half := range 2 {
				waited[half] += r.waited[half] / seeds
				left[half] += (r.left[half][0] + r.left[half][1] + r.left[half][2]) / 3 / seeds
			}
			failed += r.failed / seeds
		})
	}
	return left, waited, failed
}

// TestSpillLoads guards, for each load, against requests that leave without need (fewer leave than
// with a constant delay, at most half as many where there is room), and against own upstreams that
// are filled to spare the bytes: no more requests find all places taken than with a constant delay.
func TestSpillLoads(t *testing.T) {
	calm := spillLoad{upstreams: [3]int{1, 1, 1}, entries: [3]int{2, 2, 2}, rates: [3]float64{20, 20, 20}, reportAge: 300 * time.Millisecond}
	for name, change := range map[string]func(*spillLoad){
		"calm":  func(*spillLoad) {},
		"burst": func(l *spillLoad) { l.change = func(_ *fleet.View, l *spillLoad) { l.rates[0] = 90 } },
		"half of the upstreams gone": func(l *spillLoad) {
			l.upstreams, l.rates = [3]int{4, 4, 4}, [3]float64{130, 80, 80}
			l.change = func(v *fleet.View, _ *spillLoad) { delete(v.Upstreams, "z0-0"); delete(v.Upstreams, "z0-1") }
		},
		"emptied": func(l *spillLoad) { l.change = func(v *fleet.View, _ *spillLoad) { delete(v.Upstreams, "z0-0") } },
		"uneven shares": func(l *spillLoad) {
			l.upstreams, l.rates = [3]int{1, 4, 4}, [3]float64{100, 50, 50}
		},
		"few entry instances": func(l *spillLoad) {
			l.upstreams, l.entries, l.rates = [3]int{6, 1, 1}, [3]int{1, 8, 8}, [3]float64{60, 30, 30}
		},
		"all full":      func(l *spillLoad) { l.rates = [3]float64{70, 70, 70} },
		"stale reports": func(l *spillLoad) { l.reportAge, l.rates = 2*time.Second, [3]float64{40, 40, 40} },
		"lossy link":    func(l *spillLoad) { l.rates, l.lossFrom0 = [3]float64{45, 20, 20}, 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			l := calm
			change(&l)
			left, waited, failed := l.mean(t, 1)
			constantLeft, constantWaited, constantFailed := l.mean(t, 0)
			t.Logf("left %.3f, with a constant %.3f; waited %.3f, with a constant %.3f; failed %.4f, %.4f", left, constantLeft, waited, constantWaited, failed, constantFailed)
			for half := range 2 {
				check.True(left[half] < constantLeft[half])      // fewer leave
				check.True(waited[half] <= constantWaited[half]) // no more wait
			}
			check.True(failed <= constantFailed) // no more fail
			if name == "calm" {
				check.True(left[0] <= constantLeft[0]/2 && left[1] <= constantLeft[1]/2)
			}
		})
	}
}

// TestSpillNoneHere guards against a request that is kept although no upstream of its data centre
// has the model, and against attempts that leave uncounted.
func TestSpillNoneHere(t *testing.T) {
	check := is.New(t)
	v := testView(3, 1)
	v.Upstreams["i-0"].Holdings, v.Upstreams["i-1"].Holdings = &fleet.Holdings{}, v.Upstreams["i-0"].Holdings
	p := NewPool("entry-0", "z0", Bounds{SpillWeight: 1})
	p.Update(v)
	q := engineQuery("m", "a1")
	q.Bytes = 9000
	c, _ := p.Pick(q)
	check.Equal(c.Upstream.ID, "i-1")
	ticket, _ := p.Begin(c, q)
	ticket.DataReceived(1000)
	counts := p.crossings.byReason[spill.NoneHere]
	check.Equal(counts.requests.Get(), uint64(1))
	check.Equal(counts.bytes.Get(), uint64(10_000))
}
