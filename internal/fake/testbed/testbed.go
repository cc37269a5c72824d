// Package testbed contains helpers shared by the tests of several packages:
// reproducible random schedules, background loops and a discarding logger.
package testbed

import (
	"context"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// NoLog returns a logger that discards all records.
func NoLog() *log.Logger { return &log.Logger{Handler: discard.New()} }

// Loop is a function that runs in the background of a test.
type Loop struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start calls run in a goroutine; Stop ends its context. The error of run is ignored.
func Start(run func(context.Context) error) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		_ = run(ctx)
	}()
	return l
}

// Done returns a channel that is closed when the function has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Stop ends the function's context and waits until it has returned.
func (l *Loop) Stop() {
	l.cancel()
	<-l.done
}
