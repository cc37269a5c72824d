package main

import (
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

const (
	// maxSeconds and digits bound the histograms; values are in microseconds.
	maxSeconds = 600
	digits     = 3
)

// results holds a histogram for each measurement, in order.
type results struct {
	names  []string
	byName map[string]*hdrhistogram.Histogram
}

// add records one duration.
func (r *results) add(name string, took time.Duration) {
	if r.byName == nil {
		r.byName = map[string]*hdrhistogram.Histogram{}
	}
	h, ok := r.byName[name]
	if !ok {
		h = hdrhistogram.New(1, maxSeconds*int64(time.Second/time.Microsecond), digits)
		r.byName[name] = h
		r.names = append(r.names, name)
	}
	_ = h.RecordValue(took.Microseconds())
}

// print writes a table in Markdown.
func (r *results) print(w io.Writer) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"measurement", "count", "p50", "p95", "max"})
	for _, name := range r.names {
		h := r.byName[name]
		t.AppendRow(table.Row{name, h.TotalCount(), quantile(h, 50), quantile(h, 95), quantile(h, 100)})
	}
	t.RenderMarkdown()
}

// quantile returns a percentile rounded to milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	value := time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	return value.Round(time.Millisecond)
}
