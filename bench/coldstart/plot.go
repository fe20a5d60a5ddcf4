package coldstart

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 0.6 * vg.Centimeter
)

// series is a named sequence of values, one bar per site.
type series struct {
	name   string
	values plotter.Values
}

// Plots saves one plot for the bursts and one for the keep-warm times in dir.
func Plots(dir, caption string, bursts []BurstRow, warm []KeepWarmRow) error {
	var policies []series
	for _, p := range Policies() {
		s := series{name: p.Name}
		for _, r := range bursts {
			if r.Policy == p.Name {
				s.values = append(s.values, Median(r.Ratio))
			}
		}
		policies = append(policies, s)
	}
	title := "Cold-start p99 over the store's bound, median\n" + caption
	if err := saveBarChart(filepath.Join(dir, "coldstart-burst.png"), title, "ratio", policies); err != nil {
		return err
	}
	idle := []series{{name: "learned"}, {name: "fixed"}}
	for _, r := range warm {
		idle[0].values = append(idle[0].values, Median(r.Learned))
		idle[1].values = append(idle[1].values, Median(r.Fixed))
	}
	title = "Idle accelerator hours a day at equal cold starts, median\n" + caption
	return saveBarChart(filepath.Join(dir, "coldstart-keepwarm.png"), title, "hours a day", idle)
}

func saveBarChart(path, title, axis string, groups []series) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, axis
	p.Legend.Top, p.Y.Min = true, 0
	for i, s := range groups {
		chart, err := plotter.NewBarChart(s.values, barWidth)
		if err != nil {
			return errors.Wrap(err, s.name)
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = vg.Length(float64(i)-float64(len(groups)-1)/2) * barWidth
		p.Add(chart)
		p.Legend.Add(s.name, chart)
	}
	var names []string
	highest := 0.0
	for _, s := range Sites() {
		names = append(names, s.Name)
	}
	for _, s := range groups {
		highest = max(highest, Worst(s.values))
	}
	// The legend is inside the plot, so leave room for it above the bars.
	p.Y.Max = 1.5 * highest
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), path)
}
