package policy

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Write appends the report to a Markdown page and saves its plot in dir. The
// caption is the command that produced them.
func (r Report) Write(page io.Writer, dir, caption string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n", r.Title, r.Text)
	r.Table.write(&b)
	fmt.Fprintf(&b, "\n![%s](%s)\n\nMade by `%s`.\n\n", r.Title, r.Plot.File, caption)
	if _, err := io.WriteString(page, b.String()); err != nil {
		return errors.Wrapf(err, "write the section %q", r.Title)
	}
	return r.Plot.save(r.Title+"\n"+caption, dir)
}

func (t Table) write(b *strings.Builder) {
	line := func(cells []string) { fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.Head)
	rule := make([]string, len(t.Head))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range t.Rows {
		line(row)
	}
}

const barWidth = vg.Length(14)

// legendHeadroom scales the Y axis so that the legend does not cover the bars.
const legendHeadroom = 1.25

// save draws the chart to a PNG file in dir.
func (c BarChart) save(title, dir string) error {
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = vg.Points(9)
	p.Y.Label.Text = c.YLabel
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range c.Series {
		bars, err := plotter.NewBarChart(plotter.Values(s.Values), barWidth)
		if err != nil {
			return errors.Wrapf(err, "draw %q", s.Name)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(2*i-len(c.Series)+1) / 2
		p.Add(bars)
		p.Legend.Add(s.Name, bars)
	}
	p.NominalX(c.Labels...)
	p.Y.Max *= legendHeadroom
	p.X.Min, p.X.Max = -0.5, float64(len(c.Labels))-0.5
	p.X.Tick.Label.Font.Size = vg.Points(7)
	return errors.Wrap(p.Save(26*vg.Centimeter, 11*vg.Centimeter, filepath.Join(dir, c.File)), "save the plot")
}
