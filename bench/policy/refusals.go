package policy

import (
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget/fleetsim"
)

// condition is a situation in which refusals are measured.
type condition struct {
	name string
	set  func(*fleetsim.Scenario)
}

func conditions() []condition {
	return []condition{
		{"calm", func(*fleetsim.Scenario) {}},
		{"bursts on two instances", func(s *fleetsim.Scenario) {
			s.Bursts, s.BurstFraction, s.BurstNodes = 10, 0.75, 2
		}},
		{"one instance lost", func(s *fleetsim.Scenario) {
			s.Faults = []fleetsim.Fault{{Kind: fleetsim.Kill, At: 10 * time.Second}}
		}},
		{"log out for ten minutes", func(s *fleetsim.Scenario) {
			s.Duration = 12 * time.Minute
			s.Faults = []fleetsim.Fault{{Kind: fleetsim.LogDown, At: 10 * time.Second, Duration: 10 * time.Minute}}
		}},
		{"calm at 0.8 of the rate", func(s *fleetsim.Scenario) { s.Load = 0.8 }},
		{"five times the rate", func(s *fleetsim.Scenario) { s.Load = 5 }},
	}
}

// refusalCell is one condition at one user's size.
type refusalCell struct {
	user      user
	condition condition
	refusals  []fleetsim.Refusals
	results   []traffic
}

// traffic is the load of control messages per entry instance.
type traffic struct {
	messagesPerS float64
	bytesPerS    float64
	violations   int
}

// Refusals measures requests that are refused although within the team's rate.
func Refusals(seed uint64, seeds int) Experiment {
	var cells []*refusalCell
	var jobs []func()
	for _, u := range users() {
		for _, c := range conditions() {
			cell := &refusalCell{u, c, make([]fleetsim.Refusals, seeds), make([]traffic, seeds)}
			cells = append(cells, cell)
			for i := range seeds {
				jobs = append(jobs, func() { cell.run(i, seed+uint64(i)) })
			}
		}
	}
	return Experiment{Jobs: jobs, Report: func() Report { return reportRefusals(cells, seeds) }}
}

func (c *refusalCell) run(i int, seed uint64) {
	s := &fleetsim.Scenario{
		Seed:       seed,
		Nodes:      c.user.entries,
		DCs:        c.user.dcs,
		Teams:      budgets(),
		Load:       0.5,
		MeanTokens: 0.02,
		Duration:   2 * time.Minute,
	}
	c.condition.set(s)
	r := fleetsim.Run(s)
	c.refusals[i] = fleetsim.Compare(s, r.Outcomes)
	perNode := s.Duration.Seconds() * float64(s.Nodes)
	c.results[i] = traffic{
		messagesPerS: float64(r.Messages) / perNode,
		bytesPerS:    float64(r.Bytes) / perNode,
		violations:   len(fleetsim.Check(r.Charges, s.Teams)),
	}
}

func reportRefusals(cells []*refusalCell, seeds int) Report {
	r := Report{
		Title: "Requests refused although within the team's rate",
		Text: fmt.Sprintf("Five teams, two minutes each (twelve for the log outage), %d seeds. A request is within the rate "+
			"if one token bucket for the whole fleet would admit it. The fixed equal split gives each instance a bucket "+
			"with an equal part of rate and burst. Load is half of each team's rate unless said otherwise. "+
			"At five times the rate the fleet and the ideal admit different requests, so there the tokens admitted "+
			"relative to the ideal tell more than the refusals. "+
			"Traffic is per entry instance, with 300 bytes of headers per message; the heaviest seed.", seeds),
	}
	r.Table.Head = []string{"user", "condition", "within", "refused", "worst seed", "equal split refuses", "admitted of ideal", "messages/s", "bytes/s", "H7 violations"}
	r.Plot = Bars{File: "refusals.png", YLabel: "wrongly refused, %"}
	shares, split := Series{Name: "shares and grants"}, Series{Name: "fixed equal split"}
	for _, c := range cells {
		row, ours, theirs := c.row()
		r.Table.Rows = append(r.Table.Rows, row)
		if c.user.name == users()[0].name && c.condition.name != "five times the rate" {
			r.Plot.Labels = append(r.Plot.Labels, c.condition.name)
			shares.Values = append(shares.Values, ours)
			split.Values = append(split.Values, theirs)
		}
	}
	r.Plot.Series = []Series{shares, split}
	return r
}

func (c *refusalCell) row() (row []string, ours, theirs float64) {
	var sum fleetsim.Refusals
	var t traffic
	worst := 0.0
	for i, r := range c.refusals {
		sum = sum.Add(r)
		worst = max(worst, percent(r.Wrong, r.WithinBudget))
		t.messagesPerS = max(t.messagesPerS, c.results[i].messagesPerS)
		t.bytesPerS = max(t.bytesPerS, c.results[i].bytesPerS)
		t.violations += c.results[i].violations
	}
	ours, theirs = percent(sum.Wrong, sum.WithinBudget), percent(sum.WrongSplit, sum.WithinBudget)
	return []string{
		c.user.name, c.condition.name, fmt.Sprint(sum.WithinBudget),
		fmt.Sprintf("%.3f%%", ours), fmt.Sprintf("%.3f%%", worst), fmt.Sprintf("%.3f%%", theirs),
		fmt.Sprintf("%.3f", sum.Admitted/sum.AdmittedIdeal),
		fmt.Sprintf("%.2f", t.messagesPerS), fmt.Sprintf("%.0f", t.bytesPerS), fmt.Sprint(t.violations),
	}, ours, theirs
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
