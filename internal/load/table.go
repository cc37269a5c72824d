package load

import (
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

// row is a measure that the table shows as the median over the seeds.
type row struct {
	name  string
	value func(Result) float64
	// decimals are shown after the point.
	decimals int
}

// rows are the measures of the table, without those of single groups.
func rows() []row {
	return []row{
		{"offered load", func(r Result) float64 { return r.Offered }, 2},
		{"offered load at the crest", func(r Result) float64 { return r.OfferedCrest }, 2},
		{"programs", func(r Result) float64 { return float64(r.Programs) }, 0},
		{"programs failed", func(r Result) float64 { return float64(r.Failed) }, 0},
		{"programs unfinished", func(r Result) float64 { return float64(r.Unfinished) }, 0},
		{"refusals not_run", func(r Result) float64 { return float64(r.Refused) }, 0},
		{"program latency p50, ms", func(r Result) float64 { return r.Latency.P50 }, 0},
		{"program latency p95, ms", func(r Result) float64 { return r.Latency.P95 }, 0},
		{"program latency p99, ms", func(r Result) float64 { return r.Latency.P99 }, 0},
		{"short work latency p95, ms", func(r Result) float64 { return r.Short.P95 }, 0},
		{"short work first token p95, ms", func(r Result) float64 { return r.ShortFirst.P95 }, 0},
		{"floor of program latency p95, engines with one request, ms", func(r Result) float64 { return r.FloorAlone.All.P95 }, 0},
		{"floor of program latency p95, engines at capacity, ms", func(r Result) float64 { return r.FloorCapacity.All.P95 }, 0},
		{"floor of short work p95, engines with one request, ms", func(r Result) float64 { return r.FloorAlone.Short.P95 }, 0},
		{"floor of short work p95, engines at capacity, ms", func(r Result) float64 { return r.FloorCapacity.Short.P95 }, 0},
		{"Jain's index, received over granted", func(r Result) float64 { return r.Jain }, 3},
		{"Jain's index with demand that came too late", func(r Result) float64 { return r.JainAllDemand }, 3},
		{"history tokens recomputed", func(r Result) float64 { return float64(r.Recomputed) }, 0},
		{"history tokens", func(r Result) float64 { return float64(r.HistoryTokens) }, 0},
		{"engine steps delayed by the machine", func(r Result) float64 { return r.LateSteps }, 3},
		{"processor time of the daemons, s", func(r Result) float64 { return r.DaemonSeconds }, 1},
		{"served in time at the crest", func(r Result) float64 { return r.InTime }, 3},
	}
}

// Table returns a Markdown table of the medians over the seeds, with one column
// for each variant.
func Table(variants []string, results map[string][]Result) string {
	t := table.NewWriter()
	header := table.Row{"measure"}
	for _, variant := range variants {
		header = append(header, variant)
	}
	t.AppendHeader(header)
	all := append(rows(), groupRows(variants, results)...)
	for _, r := range all {
		line := table.Row{r.name}
		for _, variant := range variants {
			line = append(line, fmt.Sprintf("%.*f", r.decimals, medianOf(results[variant], r.value)))
		}
		t.AppendRow(line)
	}
	return t.RenderMarkdown() + "\n"
}

// groupRows are the latencies of each owner and class.
func groupRows(variants []string, results map[string][]Result) []row {
	if len(variants) == 0 || len(results[variants[0]]) == 0 {
		return nil
	}
	var all []row
	for i, group := range results[variants[0]][0].Groups {
		name := group.Owner + ", " + group.Class
		value := func(quantile func(Quantiles) float64) func(Result) float64 {
			return func(r Result) float64 {
				if i >= len(r.Groups) {
					return 0
				}
				return quantile(r.Groups[i].Latency)
			}
		}
		all = append(all,
			row{name + ": p50, ms", value(func(q Quantiles) float64 { return q.P50 }), 0},
			row{name + ": p95, ms", value(func(q Quantiles) float64 { return q.P95 }), 0},
			row{name + ": p99, ms", value(func(q Quantiles) float64 { return q.P99 }), 0},
		)
	}
	return all
}

// medianOf returns the median of a measure over runs.
func medianOf(results []Result, value func(Result) float64) float64 {
	if len(results) == 0 {
		return 0
	}
	var values []float64
	for _, r := range results {
		values = append(values, value(r))
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes the distribution of program latencies of each variant, the median
// over the seeds at each percent, as an SVG file.
func Plot(path, title string, variants []string, results map[string][]Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "program latency, s"
	p.Y.Label.Text = "programs, percent"
	p.Legend.Top = false
	for i, variant := range variants {
		line, err := plotter.NewLine(curve(results[variant]))
		if err != nil {
			return errors.Wrap(err, "plot line")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(variant, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}

// curve is the median latency at each percent.
func curve(results []Result) plotter.XYs {
	var points plotter.XYs
	for percent := range 100 {
		latency := medianOf(results, func(r Result) float64 {
			if percent >= len(r.CDF) {
				return 0
			}
			return r.CDF[percent]
		})
		points = append(points, plotter.XY{X: latency / 1000, Y: float64(percent)})
	}
	return points
}
