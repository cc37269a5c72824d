package main

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
)

// printIdleCosts writes the costs by fleet size and a linear fit of each column.
func printIdleCosts(w io.Writer, costs []idleCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"daemons", "CPU, % of a core", "RSS mean, MB", "RSS max, MB", "peer KB/s",
		"platform reads/s", "platform writes/s", "open watches", "edit delay, max"})
	for _, c := range costs {
		t.AppendRow(table.Row{
			c.daemons, formatFigure(c.cpuPercent), formatFigure(c.meanRSSMB), formatFigure(c.maxRSSMB),
			formatFigure(c.peerKBPerSecond), formatFigure(c.readsPerSecond), formatFigure(c.writesPerSecond),
			c.openWatches, c.maxEditDelay.Round(pollInterval),
		})
	}
	if len(costs) > 1 {
		t.AppendFooter(table.Row{"linear fit, x = daemons",
			linearFit(costs, func(c idleCost) float64 { return c.cpuPercent }),
			linearFit(costs, func(c idleCost) float64 { return c.meanRSSMB }),
			linearFit(costs, func(c idleCost) float64 { return c.maxRSSMB }),
			linearFit(costs, func(c idleCost) float64 { return c.peerKBPerSecond }),
			linearFit(costs, func(c idleCost) float64 { return c.readsPerSecond }),
			linearFit(costs, func(c idleCost) float64 { return c.writesPerSecond }),
			"", "",
		})
	}
	t.RenderMarkdown()
}

// linearFit formats the linear regression of one column over the fleet size.
func linearFit(costs []idleCost, value func(idleCost) float64) string {
	var x, y []float64
	for _, c := range costs {
		x = append(x, float64(c.daemons))
		y = append(y, value(c))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	return fmt.Sprintf("%.3g + %.3g x", intercept, slope)
}

// printStartCosts writes the costs by catalogue size.
func printStartCosts(w io.Writer, costs []startCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"entries", "time to ready", "RSS, MB"})
	for _, c := range costs {
		t.AppendRow(table.Row{c.entries, c.timeToReady.Round(pollInterval), formatFigure(c.rssMB)})
	}
	t.RenderMarkdown()
}

// formatFigure formats a value with three significant digits.
func formatFigure(value float64) string { return fmt.Sprintf("%.3g", value) }
