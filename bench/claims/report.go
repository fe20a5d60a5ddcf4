package claims

import (
	"fmt"
	"strings"
	"time"
)

// Plan is the whole experiment: Base with each policy, number of claimants, number of
// items and seed.
type Plan struct {
	Claimants []int
	Items     []int
	Seeds     int
	FirstSeed uint64
	Base      Setting
}

// summary sums up the runs of one setting with all seeds. voidedPerUseful and seconds are
// means; worst is the highest voidedPerUseful of a seed.
type summary struct {
	voidedPerUseful, worst, seconds float64
}

// Report runs the plan and returns the results as a Markdown page that names the
// command.
func (p Plan) Report(command string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "# Claims in the log\n\nCommand, in the root of the repository:\n\n```\n%s\n```\n\n", command)
	fmt.Fprintf(&out, "Claimants claim items (a partition's writer, a home) by an append; the first append for an item wins,\n"+
		"later ones are void. The log takes %g appends a second. A claimant knows the claims up to its last\n"+
		"read-back and appends again %d to %d ms later. All learn of the work within %s. For the rendezvous\n"+
		"assignment %g of the members were just replaced, and %g of the others know it only after %s.\n"+
		"Seeds %d to %d; the time is until the last item is claimed.\n",
		p.Base.AppendsPerS, p.Base.Latency.Milliseconds(), 2*p.Base.Latency.Milliseconds(), p.Base.WakeWithin,
		p.Base.ChangedShare, p.Base.StaleShare, p.Base.ViewBound, p.FirstSeed, p.FirstSeed+uint64(p.Seeds)-1)
	for _, items := range p.Items {
		p.table(&out, items)
	}
	return out.String()
}

func (p Plan) table(out *strings.Builder, items int) {
	fmt.Fprintf(out, "\n## %d items\n\n| claimants | picking | voided per useful append, mean | worst seed | time, s, mean |\n| --- | --- | --- | --- | --- |\n", items)
	wins := map[Policy]int{}
	for _, claimants := range p.Claimants {
		best := Policy("")
		var fewest float64
		for _, policy := range Policies() {
			result := p.measure(policy, claimants, items)
			fmt.Fprintf(out, "| %d | %s | %.3f | %.3f | %.2f |\n", claimants, policy, result.voidedPerUseful, result.worst, result.seconds)
			if best == "" || result.voidedPerUseful < fewest {
				best, fewest = policy, result.voidedPerUseful
			}
		}
		wins[best]++
	}
	for _, policy := range Policies() {
		fmt.Fprintf(out, "\nFewest voided appends with %s picking: %d of %d rows.", policy, wins[policy], len(p.Claimants))
	}
	out.WriteString("\n")
}

func (p Plan) measure(policy Policy, claimants, items int) summary {
	var result summary
	var total time.Duration
	for seed := range p.Seeds {
		s := p.Base
		s.Policy = policy
		s.Claimants = claimants
		s.Items = items
		s.Seed = p.FirstSeed + uint64(seed)
		outcome := Run(s)
		ratio := float64(outcome.Voided) / float64(outcome.Useful)
		result.voidedPerUseful += ratio / float64(p.Seeds)
		result.worst = max(result.worst, ratio)
		total += outcome.Claimed
	}
	result.seconds = total.Seconds() / float64(p.Seeds)
	return result
}
