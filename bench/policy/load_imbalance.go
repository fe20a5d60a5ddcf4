package policy

import (
	"fmt"
	"math/rand/v2"

	"github.com/jacinthbend/jacinthbend/internal/routing"
)

// routingPolicy is one of the routing policies that are compared.
type routingPolicy struct {
	name string
	make func(seed uint64) entryRouter
}

func routingPolicies() []routingPolicy {
	return []routingPolicy{
		{"two choices with affinity", func(seed uint64) entryRouter {
			return routing.New(routing.Options{}, rand.New(rand.NewPCG(seed, 2)))
		}},
		{"least reported load", func(uint64) entryRouter { return &leastReported{reports: make(map[string]int)} }},
	}
}

// imbalanceRow is one table row: one policy at one fleet size, with one figure per
// seed.
type imbalanceRow struct {
	size      fleetSize
	policy    routingPolicy
	imbalance []float64
	refused   []float64
	cacheHits []float64
}

// LoadImbalance measures how much more load the most loaded upstream gets than the
// mean, because entry instances route independently and may choose the same one.
func LoadImbalance(seed uint64, seeds int) Experiment {
	var rows []*imbalanceRow
	var jobs []func()
	for _, size := range fleetSizes() {
		for _, p := range routingPolicies() {
			row := &imbalanceRow{size, p, make([]float64, seeds), make([]float64, seeds), make([]float64, seeds)}
			rows = append(rows, row)
			for i := range seeds {
				jobs = append(jobs, func() { row.run(i, seed+uint64(i)) })
			}
		}
	}
	return Experiment{Jobs: jobs, Report: func() Report { return reportLoadImbalance(rows, seeds) }}
}

func (row *imbalanceRow) run(i int, seed uint64) {
	sim := &routingRun{size: row.size, rng: rand.New(rand.NewPCG(seed, 1))}
	for e := range row.size.entries {
		sim.routers = append(sim.routers, row.policy.make(seed*1000+uint64(e)))
	}
	for s := range row.size.servers {
		sim.servers = append(sim.servers, &server{id: fmt.Sprintf("u%03d", s)})
		sim.homes = append(sim.homes, sim.servers[s].id)
	}
	sim.simulate()
	row.imbalance[i] = mean(sim.imbalance)
	row.refused[i] = percent(sim.refused, sim.requests)
	row.cacheHits[i] = percent(sim.cacheHits, sim.requests)
}

func reportLoadImbalance(rows []*imbalanceRow, seeds int) Report {
	r := Report{
		Title: "Crowding of entry instances onto one upstream",
		Text: fmt.Sprintf("Load reports come once a second, cache events two seconds late and one in %d is lost. "+
			"Upstreams take %d requests at a time and are offered half of that in all; a refused request is tried at "+
			"three homes at most. Crowding is the load of the most loaded upstream relative to the mean, sampled five "+
			"times a second; %d seeds.", cacheEventLossInterval, serverMaxInFlight, seeds),
	}
	r.Table.Head = []string{"size", "policy", "crowding", "worst seed", "refused", "prefix cached"}
	r.Plot = BarChart{File: "crowding.png", YLabel: "most loaded upstream / mean"}
	series := make(map[string]*Series)
	for _, p := range routingPolicies() {
		series[p.name] = &Series{Name: p.name}
	}
	for _, row := range rows {
		r.Table.Rows = append(r.Table.Rows, []string{
			row.size.name, row.policy.name, fmt.Sprintf("%.2f", mean(row.imbalance)), fmt.Sprintf("%.2f", maximum(row.imbalance)),
			fmt.Sprintf("%.2f%%", mean(row.refused)), fmt.Sprintf("%.1f%%", mean(row.cacheHits)),
		})
		series[row.policy.name].Values = append(series[row.policy.name].Values, mean(row.imbalance))
	}
	for _, size := range fleetSizes() {
		r.Plot.Labels = append(r.Plot.Labels, size.name)
	}
	for _, p := range routingPolicies() {
		r.Plot.Series = append(r.Plot.Series, *series[p.name])
	}
	return r
}
