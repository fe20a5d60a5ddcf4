package coldstart

import (
	"math/rand/v2"
	"slices"
	"time"
)

// BurstRow is one table row for bursts, with one figure per seed.
type BurstRow struct {
	Site, Policy string
	// P99 is the 99th percentile of the cold-start time of all requests, UrgentP99
	// that of the urgent ones, both in seconds.
	P99, UrgentP99 []float64
	// Ratio is P99 divided by the P99 of storeBound for the same burst.
	Ratio []float64
	// Late is the share of requests that could not start by their deadline.
	Late []float64
}

// Bursts simulates each policy at each site with the given number of seeds, from
// first on.
func Bursts(first uint64, seeds int) []BurstRow {
	var out []BurstRow
	for _, s := range Sites() {
		policies := append([]Policy{storeBound}, Policies()...)
		rows := make([]BurstRow, len(policies))
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(first+seed, 1))
			burst := newBurst(s, rng)
			durations := loadTimes(s, rng)
			boundP99 := 0.0
			for i, p := range policies {
				samples := simulate(s, p, burst, durations, i == 0)
				rows[i].Site, rows[i].Policy = s.Name, p.Name
				boundP99 = rows[i].add(samples, boundP99)
			}
		}
		out = append(out, rows...)
	}
	return out
}

func loadTimes(s Site, rng *rand.Rand) []time.Duration {
	out := make([]time.Duration, s.Models)
	for i := range out {
		out[i] = time.Duration(float64(s.LoadTime) * (0.6 + 0.8*rng.Float64()))
	}
	return out
}

// add adds the figures of one seed. boundP99 is the P99 of storeBound; it is 0 when r is
// the row of storeBound itself. add returns it for the next rows.
func (r *BurstRow) add(samples []sample, boundP99 float64) float64 {
	var all, urgent []float64
	late := 0.0
	for _, s := range samples {
		all = append(all, s.wait.Seconds())
		if s.urgent {
			urgent = append(urgent, s.wait.Seconds())
		}
		if s.late {
			late++
		}
	}
	p99 := quantile(all, 0.99)
	if boundP99 == 0 {
		boundP99 = p99
	}
	r.P99 = append(r.P99, p99)
	r.UrgentP99 = append(r.UrgentP99, quantile(urgent, 0.99))
	r.Ratio = append(r.Ratio, p99/boundP99)
	r.Late = append(r.Late, late/float64(len(samples)))
	return boundP99
}

// quantile returns the quantile q, from 0 to 1, of the values without interpolation.
// It returns 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Median returns the median of the values.
func Median(values []float64) float64 { return quantile(values, 0.5) }

// Worst returns the largest of the values.
func Worst(values []float64) float64 { return slices.Max(values) }

// KeepWarmRow is one table row for keep-warm times at one site, with one figure per
// seed.
type KeepWarmRow struct {
	Site string
	// Cold is the fraction of bursts that found their checkpoint not loaded with the
	// learned time. The fixed time is chosen to have no more.
	Cold []float64
	// Learned and Fixed are idle accelerator hours a day; Ratio is Learned divided by
	// Fixed.
	Learned, Fixed, Ratio []float64
	// Reloads is the number of planned reloads an hour.
	Reloads []float64
	// FixedKeepWarm is the shortest fixed time with no more cold bursts, in minutes.
	FixedKeepWarm []float64
}

// KeepWarm compares the learned keep-warm time with a fixed one at each site, with the
// given number of seeds, from first on.
func KeepWarm(first uint64, seeds int) []KeepWarmRow {
	var out []KeepWarmRow
	for _, s := range Sites() {
		row := KeepWarmRow{Site: s.Name}
		for seed := range uint64(seeds) {
			all := newUsages(s, rand.New(rand.NewPCG(first+seed, 2)))
			learned := simulateLearned(all)
			keepWarm, fixed := shortestFixed(all, learned.Cold)
			perDay := float64(keepWarmSpan) / float64(24*time.Hour)
			row.Cold = append(row.Cold, float64(learned.Cold)/float64(learned.Bursts))
			row.Learned = append(row.Learned, learned.Idle.Hours()/perDay)
			row.Fixed = append(row.Fixed, fixed.Idle.Hours()/perDay)
			row.Ratio = append(row.Ratio, learned.Idle.Hours()/fixed.Idle.Hours())
			row.Reloads = append(row.Reloads, float64(learned.Reloads)/keepWarmSpan.Hours())
			row.FixedKeepWarm = append(row.FixedKeepWarm, keepWarm.Minutes())
		}
		out = append(out, row)
	}
	return out
}
