// Package timers waits without selecting on timer channels. With the race detector of Go 1.26, a
// select in a synctest bubble crashes the runtime if it begins at the instant at which one of its
// timer channels is due, as happens in loops.
package timers

import (
	"context"
	"sync"
	"time"
)

// Ticker sends on C at intervals, like time.Ticker, but by a callback.
type Ticker struct {
	// C holds at most one tick.
	C        chan struct{}
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// NewTicker returns a ticker that runs until Stop.
func NewTicker(interval time.Duration) *Ticker {
	t := &Ticker{C: make(chan struct{}, 1), interval: interval}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(interval, t.tick)
	return t
}

func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.C <- struct{}{}:
	default:
	}
	t.timer.Reset(t.interval)
}

// Stop ends the ticks.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// After returns a channel that is closed after d.
func After(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(d, func() { close(done) })
	return done
}

// Sleep waits for d and returns false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	done := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	}
}
