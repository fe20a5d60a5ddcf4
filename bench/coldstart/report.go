package coldstart

import (
	"fmt"
	"strings"
)

// Report returns the results as a Markdown page. The caption of each table names the
// command and the seeds.
func Report(command string, first uint64, seeds int, bursts []BurstRow, warm []KeepWarmRow) string {
	var b strings.Builder
	caption := fmt.Sprintf("`%s`, seeds %d to %d, median (worst) over the seeds.", command, first, first+uint64(seeds)-1)
	fmt.Fprintf(&b, "# Cold starts\n\nSimulation with the product's order of loads and keep-warm decision; the sites are those of\nsection 1 of the design, with every model cold and two homes per model.\n\n")
	fmt.Fprintf(&b, "## Order of loads in a burst\n\n%s Times in seconds. The store's bound\nloads each model once, the one with the most waiting requests first, and knows the burst beforehand.\n\n", caption)
	b.WriteString("| site | policy | p99 | p99 / bound | p99, urgent | share past deadline |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range bursts {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", r.Site, r.Policy,
			medianAndWorst(r.P99, 1), medianAndWorst(r.Ratio, 2), medianAndWorst(r.UrgentP99, 1), medianAndWorst(r.Late, 3))
	}
	b.WriteString("\n![p99 over the store's bound](coldstart-burst.png)\n\n")
	fmt.Fprintf(&b, "*%s*\n\n", caption)
	fmt.Fprintf(&b, "## Learned keep-warm time\n\n%s The fixed time is the shortest\nthat has no more cold bursts than the learned one, so the cold-start times are distributed equally.\n\n", caption)
	b.WriteString("| site | cold bursts | idle h/day, learned | idle h/day, fixed | learned / fixed | planned reloads/h | fixed time, min |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range warm {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Site,
			medianAndWorst(r.Cold, 3), medianAndWorst(r.Learned, 1), medianAndWorst(r.Fixed, 1), medianAndWorst(r.Ratio, 2), medianAndWorst(r.Reloads, 1), medianAndWorst(r.FixedKeepWarm, 1))
	}
	b.WriteString("\n![idle hours](coldstart-keepwarm.png)\n\n")
	fmt.Fprintf(&b, "*%s*\n\n%s", caption, revertedSection)
	return b.String()
}

// revertedSection lists policies that were removed because their results were worse.
const revertedSection = `## Reverted

- Loads of further replicas behind the first replicas of other models (any home, seeds 1 to 20,
  trial before the rule was removed): share past deadline 0.075 (0.100) at the Association and 0.037
  (0.100) at Mugcraft, against 0.068 (0.097) and 0.049 (0.093) for first come first served, and
  0.030 (0.087) and 0.013 (0.053) without the rule.
- Holding from the end of the last use only, without a planned reload before the next (5 min price,
  seeds 1 to 20, trial): learned / fixed 0.74 at Mugcraft, against 0.52 with planned reloads.
- Learning from the third gap on instead of the first (seeds 1 to 20): learned / fixed 0.53 (0.54)
  and 0.52 (0.53).
`

func medianAndWorst(values []float64, digits int) string {
	return fmt.Sprintf("%.*f (%.*f)", digits, Median(values), digits, Worst(values))
}
