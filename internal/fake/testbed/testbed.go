// Package testbed holds what the tests of several packages set up alike: random
// schedules that are the same in each run, loops that run beside a test, and a
// log that is not kept.
package testbed

import (
	"context"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// NoLog returns a log that drops all records.
func NoLog() *log.Logger { return &log.Logger{Handler: discard.New()} }

// Loop is the loop of a daemon or of a part of it, run beside a test.
type Loop struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start runs a loop until Stop. The error of the loop is dropped.
func Start(run func(context.Context) error) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		_ = run(ctx)
	}()
	return l
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Stop ends the loop and waits for its end.
func (l *Loop) Stop() {
	l.cancel()
	<-l.done
}
