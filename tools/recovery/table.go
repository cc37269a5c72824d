package main

import (
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

const (
	// maxRecordedSeconds and significantDigits configure the histograms, whose
	// values are in microseconds.
	maxRecordedSeconds = 600
	significantDigits  = 3
)

// results holds one histogram per measurement. names keeps their order.
type results struct {
	names      []string
	histograms map[string]*hdrhistogram.Histogram
}

// add records one duration of a measurement.
func (r *results) add(name string, duration time.Duration) {
	if r.histograms == nil {
		r.histograms = map[string]*hdrhistogram.Histogram{}
	}
	h, ok := r.histograms[name]
	if !ok {
		h = hdrhistogram.New(1, maxRecordedSeconds*int64(time.Second/time.Microsecond), significantDigits)
		r.histograms[name] = h
		r.names = append(r.names, name)
	}
	_ = h.RecordValue(duration.Microseconds())
}

// print writes the results as a Markdown table.
func (r *results) print(w io.Writer) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"measurement", "count", "p50", "p95", "max"})
	for _, name := range r.names {
		h := r.histograms[name]
		t.AppendRow(table.Row{name, h.TotalCount(), percentile(h, 50), percentile(h, 95), percentile(h, 100)})
	}
	t.RenderMarkdown()
}

// percentile returns a percentile rounded to milliseconds.
func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	value := time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	return value.Round(time.Millisecond)
}
