package tokenbudget

import (
	"context"
	"sync"
	"time"
)

// ticker sends on C at intervals, like time.Ticker, but by a callback. With the race detector
// of Go 1.26, a select in a synctest bubble crashes the runtime if it begins at the instant at
// which one of its timer channels is due, as happens in loops.
type ticker struct {
	// C holds at most one tick.
	C        chan struct{}
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newTicker returns a ticker that runs until Stop.
func newTicker(interval time.Duration) *ticker {
	t := &ticker{C: make(chan struct{}, 1), interval: interval}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(interval, t.tick)
	return t
}

func (t *ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		wake(t.C)
		t.timer.Reset(t.interval)
	}
}

// Stop ends the ticks.
func (t *ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// after returns a channel that is closed after d. Like ticker it uses no timer channel.
func after(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(d, func() { close(done) })
	return done
}

// sleep waits for d and returns false when ctx ends first. Like ticker it uses no timer channel.
func sleep(ctx context.Context, d time.Duration) bool {
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
