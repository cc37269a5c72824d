package main

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
)

// printIdle writes the costs by fleet size, and the fitted line of each.
func printIdle(w io.Writer, costs []idleCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"daemons", "% of a core", "MB", "MB max", "peer KB/s", "platform reads/s", "writes/s", "watches", "edit in force, max"})
	for _, c := range costs {
		t.AppendRow(table.Row{c.daemons, digits(c.cpu), digits(c.rss), digits(c.maxRSS), digits(c.bytes), digits(c.reads), digits(c.writes), c.watches, c.edit.Round(pollEvery)})
	}
	if len(costs) > 1 {
		t.AppendFooter(table.Row{"fit: a + b x daemons",
			fit(costs, func(c idleCost) float64 { return c.cpu }),
			fit(costs, func(c idleCost) float64 { return c.rss }),
			fit(costs, func(c idleCost) float64 { return c.maxRSS }),
			fit(costs, func(c idleCost) float64 { return c.bytes }),
			fit(costs, func(c idleCost) float64 { return c.reads }),
			fit(costs, func(c idleCost) float64 { return c.writes }),
			"", "",
		})
	}
	t.RenderMarkdown()
}

// fit is the line through the values of one column.
func fit(costs []idleCost, value func(idleCost) float64) string {
	var x, y []float64
	for _, c := range costs {
		x = append(x, float64(c.daemons))
		y = append(y, value(c))
	}
	start, slope := stat.LinearRegression(x, y, nil, false)
	return fmt.Sprintf("%.3g + %.3g x", start, slope)
}

// printStarts writes the costs by catalogue size.
func printStarts(w io.Writer, costs []startCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"entries", "start to ready", "MB"})
	for _, c := range costs {
		t.AppendRow(table.Row{c.entries, c.ready.Round(pollEvery), digits(c.rss)})
	}
	t.RenderMarkdown()
}

// digits formats a figure with three significant digits.
func digits(value float64) string { return fmt.Sprintf("%.3g", value) }
