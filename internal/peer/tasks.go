package peer

import "sync"

// tasks counts the running goroutines of a transport, so that Close can wait for
// them. Unlike sync.WaitGroup it allows Go to be called concurrently with Wait.
type tasks struct {
	mu      sync.Mutex
	running int
	idle    *sync.Cond
}

// Go runs f in a goroutine.
func (t *tasks) Go(f func()) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	go func() {
		defer t.done()
		f()
	}()
}

func (t *tasks) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		t.idle.Broadcast()
	}
}

// Wait blocks until no goroutine is running.
func (t *tasks) Wait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = sync.NewCond(&t.mu)
	}
	for t.running > 0 {
		t.idle.Wait()
	}
}
