package main

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

const megabyte = 1e6

// results holds the measurements of one run and its options.
type results struct {
	options
	directLatency     *hdrhistogram.Histogram
	daemonLatency     *hdrhistogram.Histogram
	turnsPerCPUSecond float64 // CPU time of all daemons
	idleRSSBytes      float64 // largest daemon
	openRSSBytes      float64 // largest daemon
}

// print writes the tables in Markdown.
func (r results) print(w io.Writer) {
	latencies := table.NewWriter()
	latencies.SetOutputMirror(w)
	latencies.AppendHeader(table.Row{
		fmt.Sprintf("%d turns/s for %s", r.turnsPerSecond, r.openLoopDuration), "p50", "p99", "max",
	})
	latencies.AppendRow(table.Row{
		"direct to engine",
		percentile(r.directLatency, 50), percentile(r.directLatency, 99), percentile(r.directLatency, 100),
	})
	latencies.AppendRow(table.Row{
		"through daemons",
		percentile(r.daemonLatency, 50), percentile(r.daemonLatency, 99), percentile(r.daemonLatency, 100),
	})
	latencies.AppendRow(table.Row{
		"difference",
		percentile(r.daemonLatency, 50) - percentile(r.directLatency, 50),
		percentile(r.daemonLatency, 99) - percentile(r.directLatency, 99),
		"",
	})
	latencies.RenderMarkdown()
	fmt.Fprintln(w)
	costs := table.NewWriter()
	costs.SetOutputMirror(w)
	costs.AppendHeader(table.Row{"metric", "value"})
	costs.AppendRow(table.Row{"turns per CPU second of the daemons", fmt.Sprintf("%.0f", r.turnsPerCPUSecond)})
	costs.AppendRow(table.Row{
		"resident memory of the largest daemon, idle", fmt.Sprintf("%.1f MB", r.idleRSSBytes/megabyte),
	})
	costs.AppendRow(table.Row{
		fmt.Sprintf("resident memory of the largest daemon after the load, with %d more open programs in %d daemons",
			r.openPrograms, daemonCount),
		fmt.Sprintf("%.1f MB", r.openRSSBytes/megabyte),
	})
	costs.RenderMarkdown()
}

// percentile returns a percentile of a histogram of microseconds.
func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
