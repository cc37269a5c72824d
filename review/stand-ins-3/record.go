//go:build review3

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu      *sync.Mutex
	file    *os.File
	started time.Time
	// label begins each line.
	label string
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	return &record{mu: &sync.Mutex{}, file: file, started: time.Now()}, err
}

// labelled returns the same record with a label for its lines.
func (r *record) labelled(label string) *record {
	return &record{mu: r.mu, file: r.file, started: r.started, label: label}
}

// say writes a line with the time since the start, and prints it.
func (r *record) say(format string, args ...any) { fmt.Print(r.note(format, args...)) }

// note writes a line without printing it.
func (r *record) note(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s%s\n", time.Since(r.started).Seconds(), r.label, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	return line
}

func (r *record) close() { _ = r.file.Close() }
