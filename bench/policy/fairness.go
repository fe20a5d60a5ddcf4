package policy

import (
	"fmt"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

const (
	fairnessTime = 5 * time.Minute
	// fairnessWarmUp is the initial time that is not measured: the queues are still
	// filling, and the fair queue is still estimating the service rate.
	fairnessWarmUp = time.Minute
)

// fairnessRow is one table row: one workload in one deployment, with one figure per
// seed.
type fairnessRow struct {
	deployment deployment
	workload   workload
	fair       []float64
	fifo       []float64
	// noGuarantee is the result of the fair queue without a guaranteed share for bulk.
	noGuarantee []float64
	// fairUtilization and fifoUtilization are the fractions of the capacity spent on
	// requests that finished before their deadline.
	fairUtilization []float64
	fifoUtilization []float64
	// refusedOnEnqueue is the fraction of the unserved requests that the fair queue
	// refused when they were enqueued.
	refusedOnEnqueue []float64
}

// Fairness measures the goodput of the worst-served team relative to its
// entitlement, and compares the fair queue with first come first served.
func Fairness(seed uint64, seeds int) Experiment {
	var rows []*fairnessRow
	var jobs []func()
	for _, d := range deployments() {
		for _, w := range []workload{oneTeamOverload(0.8), oneTeamOverload(1.2), urgentOverload()} {
			n := func() []float64 { return make([]float64, seeds) }
			row := &fairnessRow{d, w, n(), n(), n(), n(), n(), n()}
			rows = append(rows, row)
			for i := range seeds {
				jobs = append(jobs, func() { row.run(i, seed+uint64(i)) })
			}
		}
	}
	return Experiment{Jobs: jobs, Report: func() Report { return reportFairness(rows, seeds) }}
}

func (row *fairnessRow) run(i int, seed uint64) {
	shares := row.shares()
	arrivals := poissonArrivals(row.deployment, row.workload.demands(shares), seed, fairnessTime)
	fair := row.simulate(fairQueue{fairqueue.New(fairqueue.Options{BulkShare: bulkShare})}, arrivals)
	noGuarantee := row.simulate(fairQueue{fairqueue.New(fairqueue.Options{BulkShare: negligibleShare})}, arrivals)
	fifo := row.simulate(&fifoQueue{}, arrivals)
	row.noGuarantee[i] = row.worst(noGuarantee.teams, shares)
	row.fair[i], row.fairUtilization[i] = row.worst(fair.teams, shares), fair.utilized/row.deployment.capacity()
	row.fifo[i], row.fifoUtilization[i] = row.worst(fifo.teams, shares), fifo.utilized/row.deployment.capacity()
	row.refusedOnEnqueue[i] = float64(fair.refusedOnEnqueue) / float64(max(1, fair.refusedOnEnqueue+fair.missed))
}

// shares returns each team's fair share of the capacity in tokens a second, which is
// proportional to its weight.
func (row *fairnessRow) shares() []float64 {
	sum := 0.0
	for _, w := range teamWeights() {
		sum += w
	}
	var out []float64
	for _, w := range teamWeights() {
		out = append(out, row.deployment.capacity()*w/sum)
	}
	return out
}

// queueResult is the result of one run. The goodput excludes the warm-up; the counts
// refusedOnEnqueue and missed include it.
type queueResult struct {
	// teams holds each team's goodput, counting only the workload's measured classes.
	// utilized is the goodput of all classes, in tokens a second.
	teams            []goodput
	utilized         float64
	refusedOnEnqueue int
	missed           int
}

type goodput struct{ done, offered float64 }

func (row *fairnessRow) simulate(q requestQueue, arrivals []arrival) queueResult {
	p := &serverPool{queue: q, freeSlots: row.deployment.servers * row.deployment.slots}
	out := queueResult{teams: make([]goodput, len(teamWeights()))}
	var mu sync.Mutex
	var running sync.WaitGroup
	start := time.Now()
	for _, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.at)))
		r := a.request
		r.Deadline = time.Now().Add(a.slack + r.ExpectedDuration)
		running.Go(func() {
			inTime, refusedOnEnqueue := p.serve(r)
			mu.Lock()
			defer mu.Unlock()
			row.count(&out, a, time.Since(start), inTime, refusedOnEnqueue)
		})
	}
	running.Wait()
	return out
}

// count adds a request to the result: to its team's offered load if it arrived after
// the warm-up, to the goodput if it ended in time and within the measured time, and to
// refusedOnEnqueue or missed if it was not served in time.
func (row *fairnessRow) count(out *queueResult, a arrival, end time.Duration, inTime, refusedOnEnqueue bool) {
	perS := a.request.Tokens / (fairnessTime - fairnessWarmUp).Seconds()
	measured := row.workload.isMeasured(a.team, a.request.Class)
	if measured && a.at >= fairnessWarmUp {
		out.teams[a.team].offered += perS
	}
	if !inTime {
		if refusedOnEnqueue {
			out.refusedOnEnqueue++
		} else {
			out.missed++
		}
		return
	}
	if end < fairnessWarmUp || end >= fairnessTime {
		return
	}
	out.utilized += perS
	if measured {
		out.teams[a.team].done += perS
	}
}

// worst returns the lowest goodput of any team, relative to its entitlement or to
// its offered load, whichever is lower.
func (row *fairnessRow) worst(teams []goodput, shares []float64) float64 {
	lowest := 1e9
	for team, g := range teams {
		if g.offered == 0 {
			continue
		}
		lowest = min(lowest, g.done/min(row.workload.entitlement(shares[team]), g.offered))
	}
	return lowest
}

func reportFairness(rows []*fairnessRow, seeds int) Report {
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
	r.Plot = BarChart{File: "fairness.png", YLabel: "goodput of the worst-served, relative"}
	fair, fifo := Series{Name: "fair queue"}, Series{Name: "first come first served"}
	noGuarantee := Series{Name: "no bulk guarantee"}
	shortLabels := []string{"others 0.8 x", "others 1.2 x", "bulk"}
	for i, row := range rows {
		r.Table.Rows = append(r.Table.Rows, []string{
			row.deployment.name, row.workload.name,
			fmt.Sprintf("%.3f", mean(row.fair)), fmt.Sprintf("%.3f", minimum(row.fair)),
			fmt.Sprintf("%.3f", mean(row.fifo)), fmt.Sprintf("%.3f", minimum(row.fifo)),
			fmt.Sprintf("%.3f", mean(row.noGuarantee)),
			fmt.Sprintf("%.3f", mean(row.fairUtilization)), fmt.Sprintf("%.3f", mean(row.fifoUtilization)),
			fmt.Sprintf("%.0f%%", 100*mean(row.refusedOnEnqueue)),
		})
		r.Plot.Labels = append(r.Plot.Labels, row.deployment.name+", "+shortLabels[i%len(shortLabels)])
		fair.Values = append(fair.Values, mean(row.fair))
		fifo.Values = append(fifo.Values, mean(row.fifo))
		noGuarantee.Values = append(noGuarantee.Values, mean(row.noGuarantee))
	}
	r.Plot.Series = []Series{fair, fifo, noGuarantee}
	return r
}
