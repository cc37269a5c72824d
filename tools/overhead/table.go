package main

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

const megabyte = 1e6

// figures are the results of one measurement.
type figures struct {
	options
	direct       *hdrhistogram.Histogram
	through      *hdrhistogram.Histogram
	turnsPerCore float64
	idleRSS      float64 // bytes, the largest daemon
	openRSS      float64 // bytes, the largest daemon
}

// print writes the tables in Markdown.
func (f figures) print(w io.Writer) {
	latencies := table.NewWriter()
	latencies.SetOutputMirror(w)
	latencies.AppendHeader(table.Row{fmt.Sprintf("%d turns/s for %s", f.rate, f.span), "p50", "p99", "max"})
	latencies.AppendRow(table.Row{"engine alone", at(f.direct, 50), at(f.direct, 99), at(f.direct, 100)})
	latencies.AppendRow(table.Row{"through daemons", at(f.through, 50), at(f.through, 99), at(f.through, 100)})
	latencies.AppendRow(table.Row{"added", at(f.through, 50) - at(f.direct, 50), at(f.through, 99) - at(f.direct, 99), ""})
	latencies.RenderMarkdown()
	fmt.Fprintln(w)
	costs := table.NewWriter()
	costs.SetOutputMirror(w)
	costs.AppendHeader(table.Row{"cost", "value"})
	costs.AppendRow(table.Row{"turns/s for each core of the daemons", fmt.Sprintf("%.0f", f.turnsPerCore)})
	costs.AppendRow(table.Row{"resident memory of the largest daemon, idle", fmt.Sprintf("%.1f MB", f.idleRSS/megabyte)})
	costs.AppendRow(table.Row{
		fmt.Sprintf("the same after the load, with %d more programs open in %d daemons", f.programs, daemons),
		fmt.Sprintf("%.1f MB", f.openRSS/megabyte),
	})
	costs.RenderMarkdown()
}

// at returns a percentile.
func at(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
