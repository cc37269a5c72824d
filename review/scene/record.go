//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  map[string][]*work
}

// work is the work of a runner on a request. end is zero while it lasts.
type work struct {
	runner, id string
	start, end time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now(), runs: map[string][]*work{}}, err
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line that is also printed.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// run notes that a runner began to work on a request.
func (r *record) run(runner, id string, body int) *work {
	r.note("run      %s at %s (%d bytes)", id, runner, body)
	w := &work{runner: runner, id: id, start: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], w)
	return w
}

// endRun notes that a runner's work has ended.
func (r *record) endRun(w *work) {
	r.note("run ends %s at %s", w.id, w.runner)
	r.mu.Lock()
	defer r.mu.Unlock()
	w.end = time.Now()
}
