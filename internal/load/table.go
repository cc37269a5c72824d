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

// tableRow is a metric that the table shows as the median over the seeds.
type tableRow struct {
	title string
	value func(Result) float64
	// decimals is the number of digits after the decimal point.
	decimals int
}

// tableRows returns the rows of the table except those of single groups.
func tableRows() []tableRow {
	return []tableRow{
		{"offered load", func(r Result) float64 { return r.OfferedLoad }, 2},
		{"offered load at the peak", func(r Result) float64 { return r.OfferedPeakLoad }, 2},
		{"programs", func(r Result) float64 { return float64(r.Programs) }, 0},
		{"failed programs", func(r Result) float64 { return float64(r.Failed) }, 0},
		{"unfinished programs", func(r Result) float64 { return float64(r.Unfinished) }, 0},
		{"refusals (not_run)", func(r Result) float64 { return float64(r.Refused) }, 0},
		{"program latency p50, ms", func(r Result) float64 { return r.Latency.P50 }, 0},
		{"program latency p95, ms", func(r Result) float64 { return r.Latency.P95 }, 0},
		{"program latency p99, ms", func(r Result) float64 { return r.Latency.P99 }, 0},
		{"short program latency p95, ms", func(r Result) float64 { return r.Short.P95 }, 0},
		{"short program time to first token p95, ms", func(r Result) float64 { return r.ShortFirstToken.P95 }, 0},
		{
			"program latency floor p95, one request per engine, ms",
			func(r Result) float64 { return r.FloorSingleRequest.All.P95 }, 0,
		},
		{
			"program latency floor p95, engines at capacity, ms",
			func(r Result) float64 { return r.FloorAtCapacity.All.P95 }, 0,
		},
		{
			"short program latency floor p95, one request per engine, ms",
			func(r Result) float64 { return r.FloorSingleRequest.Short.P95 }, 0,
		},
		{
			"short program latency floor p95, engines at capacity, ms",
			func(r Result) float64 { return r.FloorAtCapacity.Short.P95 }, 0,
		},
		{"Jain's index, servable demand", func(r Result) float64 { return r.Jain }, 3},
		{"Jain's index, all demand", func(r Result) float64 { return r.JainAllDemand }, 3},
		{"recomputed history tokens", func(r Result) float64 { return float64(r.RecomputedTokens) }, 0},
		{"history tokens", func(r Result) float64 { return float64(r.HistoryTokens) }, 0},
		{"fraction of engine steps delayed by the machine", func(r Result) float64 { return r.DelayedStepFraction }, 3},
		{"CPU time of the daemons, s", func(r Result) float64 { return r.DaemonCPUSeconds }, 1},
		{"fraction served in time at the peak", func(r Result) float64 { return r.InTimeFraction }, 3},
	}
}

// Table returns a Markdown table of the medians over the seeds, with one column
// for each variant.
func Table(variants []string, results map[string][]Result) string {
	t := table.NewWriter()
	header := table.Row{"metric"}
	for _, variant := range variants {
		header = append(header, variant)
	}
	t.AppendHeader(header)
	all := append(tableRows(), groupRows(variants, results)...)
	for _, r := range all {
		line := table.Row{r.title}
		for _, variant := range variants {
			line = append(line, fmt.Sprintf("%.*f", r.decimals, medianOf(results[variant], r.value)))
		}
		t.AppendRow(line)
	}
	return t.RenderMarkdown() + "\n"
}

// groupRows returns the latency rows of each owner and class.
func groupRows(variants []string, results map[string][]Result) []tableRow {
	if len(variants) == 0 || len(results[variants[0]]) == 0 {
		return nil
	}
	var all []tableRow
	for i, group := range results[variants[0]][0].Groups {
		name := group.Owner + ", " + group.Class
		value := func(quantile func(Percentiles) float64) func(Result) float64 {
			return func(r Result) float64 {
				if i >= len(r.Groups) {
					return 0
				}
				return quantile(r.Groups[i].Latency)
			}
		}
		all = append(all,
			tableRow{name + ": p50, ms", value(func(q Percentiles) float64 { return q.P50 }), 0},
			tableRow{name + ": p95, ms", value(func(q Percentiles) float64 { return q.P95 }), 0},
			tableRow{name + ": p99, ms", value(func(q Percentiles) float64 { return q.P99 }), 0},
		)
	}
	return all
}

// medianOf returns the median of a metric over runs.
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

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes an SVG file with the cumulative distribution of program latencies
// of each variant: at each percentile the median over the seeds.
func Plot(path, title string, variants []string, results map[string][]Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "program latency, s"
	p.Y.Label.Text = "programs, %"
	p.Legend.Top = false
	for i, variant := range variants {
		line, err := plotter.NewLine(medianCDF(results[variant]))
		if err != nil {
			return errors.Wrap(err, "create plot line")
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

// medianCDF returns the median latency over runs at each percentile.
func medianCDF(results []Result) plotter.XYs {
	var points plotter.XYs
	for percent := range 100 {
		latency := medianOf(results, func(r Result) float64 {
			if percent >= len(r.LatencyCDF) {
				return 0
			}
			return r.LatencyCDF[percent]
		})
		points = append(points, plotter.XY{X: latency / 1000, Y: float64(percent)})
	}
	return points
}
