package policy

import (
	"fmt"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

const (
	fairnessTime = 5 * time.Minute
	// fairnessWarmUp is left out of the measurement: queues fill and the rate of
	// service is learned.
	fairnessWarmUp = time.Minute
)

// fairnessCell is one mix at one user's size.
type fairnessCell struct {
	user user
	mix  mix
	fair []float64
	fifo []float64
	// strict is the fair queue without a guarantee for bulk.
	strict []float64
	// use is the part of the capacity that went into requests finished in time.
	fairUse []float64
	fifoUse []float64
	// early is the part of the refusals given on entry.
	early []float64
}

// Fairness measures the worst-served team's goodput relative to what it
// deserves, against first come first served.
func Fairness(seed uint64, seeds int) Experiment {
	var cells []*fairnessCell
	var jobs []func()
	for _, u := range users() {
		for _, m := range []mix{flood(0.8), flood(1.2), urgentOverload()} {
			n := func() []float64 { return make([]float64, seeds) }
			cell := &fairnessCell{u, m, n(), n(), n(), n(), n(), n()}
			cells = append(cells, cell)
			for i := range seeds {
				jobs = append(jobs, func() { cell.run(i, seed+uint64(i)) })
			}
		}
	}
	return Experiment{Jobs: jobs, Report: func() Report { return reportFairness(cells, seeds) }}
}

func (c *fairnessCell) run(i int, seed uint64) {
	shares := c.shares()
	load := offers(c.user, c.mix.demands(shares), seed, fairnessTime)
	fair := c.play(fairLine{fairqueue.New(fairqueue.Options{BulkShare: bulkShare})}, load)
	strict := c.play(fairLine{fairqueue.New(fairqueue.Options{BulkShare: noShare})}, load)
	fifo := c.play(&fifoLine{}, load)
	c.strict[i] = c.worst(strict.good, shares)
	c.fair[i], c.fairUse[i] = c.worst(fair.good, shares), fair.use/c.user.capacity()
	c.fifo[i], c.fifoUse[i] = c.worst(fifo.good, shares), fifo.use/c.user.capacity()
	c.early[i] = float64(fair.early) / float64(max(1, fair.early+fair.late))
}

// shares returns the tokens a second of each team by weight.
func (c *fairnessCell) shares() []float64 {
	sum := 0.0
	for _, w := range weights() {
		sum += w
	}
	var out []float64
	for _, w := range weights() {
		out = append(out, c.user.capacity()*w/sum)
	}
	return out
}

// served is the outcome of one run, in tokens a second after the warm-up.
type served struct {
	// good is what counts, by team; offered is what was asked for of it.
	good  []goodput
	use   float64
	early int
	late  int
}

type goodput struct{ done, offered float64 }

func (c *fairnessCell) play(l line, load []offer) served {
	p := &pool{line: l, free: c.user.servers * c.user.slots}
	out := served{good: make([]goodput, len(weights()))}
	var mu sync.Mutex
	var running sync.WaitGroup
	start := time.Now()
	for _, o := range load {
		time.Sleep(time.Until(start.Add(o.at)))
		r := o.request
		r.Deadline = time.Now().Add(o.slack + r.ExpectedDuration)
		running.Go(func() {
			inTime, early := p.serve(r)
			mu.Lock()
			defer mu.Unlock()
			c.count(&out, o, time.Since(start), inTime, early)
		})
	}
	running.Wait()
	return out
}

// count adds a request that arrived or ended within the measured time.
func (c *fairnessCell) count(out *served, o offer, end time.Duration, inTime, early bool) {
	perS := o.request.Tokens / (fairnessTime - fairnessWarmUp).Seconds()
	counts := c.mix.counts(o.team, o.request.Class)
	if counts && o.at >= fairnessWarmUp {
		out.good[o.team].offered += perS
	}
	if !inTime {
		if early {
			out.early++
		} else {
			out.late++
		}
		return
	}
	if end < fairnessWarmUp || end >= fairnessTime {
		return
	}
	out.use += perS
	if counts {
		out.good[o.team].done += perS
	}
}

// worst returns the least goodput of a team relative to what it deserves, or
// to what it offered if that is less.
func (c *fairnessCell) worst(good []goodput, shares []float64) float64 {
	least := 1e9
	for team, g := range good {
		if g.offered == 0 {
			continue
		}
		least = min(least, g.done/min(c.mix.deserved(shares[team]), g.offered))
	}
	return least
}

func reportFairness(cells []*fairnessCell, seeds int) Report {
	r := Report{
		Title: "Service of the worst-served team",
		Text: fmt.Sprintf("One queue in front of the user's servers, five teams with weights 3, 3, 1, 1, 1, Poisson arrivals, "+
			"%d seeds, four minutes measured after one minute. Figures are tokens of requests finished before their deadline, "+
			"relative to the team's fair share, or to what it sent if that is less; the least over the teams, "+
			"mean over the seeds and the worst seed. Bulk is relative to its guarantee of 0.2 of the team's share. "+
			"First come first served passes by requests that can no longer be finished; it favours bulk, "+
			"whose deadlines outlast its queue.", seeds),
	}
	r.Table.Head = []string{"user", "load", "fair queue", "worst seed", "first come first served", "worst seed", "no bulk guarantee", "capacity used in time", "first come first served", "refused on entry"}
	r.Plot = Bars{File: "fairness.png", YLabel: "goodput of the worst-served, relative"}
	ours, theirs := Series{Name: "fair queue"}, Series{Name: "first come first served"}
	strict := Series{Name: "no bulk guarantee"}
	short := []string{"others 0.8 x", "others 1.2 x", "bulk"}
	for i, c := range cells {
		r.Table.Rows = append(r.Table.Rows, []string{
			c.user.name, c.mix.name,
			fmt.Sprintf("%.3f", mean(c.fair)), fmt.Sprintf("%.3f", least(c.fair)),
			fmt.Sprintf("%.3f", mean(c.fifo)), fmt.Sprintf("%.3f", least(c.fifo)),
			fmt.Sprintf("%.3f", mean(c.strict)),
			fmt.Sprintf("%.3f", mean(c.fairUse)), fmt.Sprintf("%.3f", mean(c.fifoUse)),
			fmt.Sprintf("%.0f%%", 100*mean(c.early)),
		})
		r.Plot.Labels = append(r.Plot.Labels, c.user.name+", "+short[i%len(short)])
		ours.Values = append(ours.Values, mean(c.fair))
		theirs.Values = append(theirs.Values, mean(c.fifo))
		strict.Values = append(strict.Values, mean(c.strict))
	}
	r.Plot.Series = []Series{ours, theirs, strict}
	return r
}
