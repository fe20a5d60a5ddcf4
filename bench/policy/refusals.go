package policy

import (
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget/fleetsim"
)

// condition is a load pattern or fault under which refusals are measured.
type condition struct {
	name      string
	configure func(*fleetsim.Scenario)
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

// refusalRow is one table row: one condition in one deployment, with one result per
// seed.
type refusalRow struct {
	deployment deployment
	condition  condition
	refusals   []fleetsim.Refusals
	traffic    []controlTraffic
}

// controlTraffic holds the messages and bytes a second that an entry instance
// exchanges for budgets on average, and the number of H7 violations of the run.
type controlTraffic struct {
	messagesPerS float64
	bytesPerS    float64
	violations   int
}

// Refusals measures how many requests are refused although they are within the
// team's rate.
func Refusals(seed uint64, seeds int) Experiment {
	var rows []*refusalRow
	var jobs []func()
	for _, d := range deployments() {
		for _, c := range conditions() {
			row := &refusalRow{d, c, make([]fleetsim.Refusals, seeds), make([]controlTraffic, seeds)}
			rows = append(rows, row)
			for i := range seeds {
				jobs = append(jobs, func() { row.run(i, seed+uint64(i)) })
			}
		}
	}
	return Experiment{Jobs: jobs, Report: func() Report { return reportRefusals(rows, seeds) }}
}

func (row *refusalRow) run(i int, seed uint64) {
	s := &fleetsim.Scenario{
		Seed:       seed,
		Nodes:      row.deployment.entries,
		DCs:        row.deployment.dcs,
		Teams:      teamQuotas(),
		Load:       0.5,
		MeanTokens: 0.02,
		Duration:   2 * time.Minute,
	}
	row.condition.configure(s)
	r := fleetsim.Run(s)
	row.refusals[i] = fleetsim.Compare(s, r.Outcomes)
	perNode := s.Duration.Seconds() * float64(s.Nodes)
	row.traffic[i] = controlTraffic{
		messagesPerS: float64(r.Messages) / perNode,
		bytesPerS:    float64(r.Bytes) / perNode,
		violations:   len(fleetsim.Check(r.Charges, s.Teams)),
	}
}

func reportRefusals(rows []*refusalRow, seeds int) Report {
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
	r.Plot = BarChart{File: "refusals.png", YLabel: "wrongly refused, %"}
	grantSeries, equalSplitSeries := Series{Name: "shares and grants"}, Series{Name: "fixed equal split"}
	for _, row := range rows {
		cells, grantRefused, splitRefused := row.tableRow()
		r.Table.Rows = append(r.Table.Rows, cells)
		if row.deployment.name == deployments()[0].name && row.condition.name != "five times the rate" {
			r.Plot.Labels = append(r.Plot.Labels, row.condition.name)
			grantSeries.Values = append(grantSeries.Values, grantRefused)
			equalSplitSeries.Values = append(equalSplitSeries.Values, splitRefused)
		}
	}
	r.Plot.Series = []Series{grantSeries, equalSplitSeries}
	return r
}

func (row *refusalRow) tableRow() (cells []string, grantRefused, splitRefused float64) {
	var sum fleetsim.Refusals
	var t controlTraffic
	worst := 0.0
	for i, r := range row.refusals {
		sum = sum.Add(r)
		worst = max(worst, percent(r.Wrong, r.WithinBudget))
		t.messagesPerS = max(t.messagesPerS, row.traffic[i].messagesPerS)
		t.bytesPerS = max(t.bytesPerS, row.traffic[i].bytesPerS)
		t.violations += row.traffic[i].violations
	}
	grantRefused, splitRefused = percent(sum.Wrong, sum.WithinBudget), percent(sum.WrongSplit, sum.WithinBudget)
	return []string{
		row.deployment.name, row.condition.name, fmt.Sprint(sum.WithinBudget),
		fmt.Sprintf("%.3f%%", grantRefused), fmt.Sprintf("%.3f%%", worst), fmt.Sprintf("%.3f%%", splitRefused),
		fmt.Sprintf("%.3f", sum.Admitted/sum.AdmittedIdeal),
		fmt.Sprintf("%.2f", t.messagesPerS), fmt.Sprintf("%.0f", t.bytesPerS), fmt.Sprint(t.violations),
	}, grantRefused, splitRefused
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
