package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/queue"
)

// ringLines is the number of lines that may wait to be written: more than a daemon
// writes in a second.
const ringLines = 1024

// Async writes lines in a goroutine of its own, so that a slow reader of the log holds
// up no request. Lines that find the ring full are dropped, counted, and reported
// once there is room.
type Async struct {
	to      io.Writer
	lines   *queue.Queue[[]byte]
	dropped atomic.Int64
	ended   chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsync returns a writer to w and starts its goroutine. Close ends it.
func NewAsync(w io.Writer, set *metrics.Set) *Async {
	a := &Async{to: w, lines: queue.New[[]byte](set, "log", ringLines), ended: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer for one whole line. It does not block.
func (a *Async) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is in the ring and ends the goroutine.
func (a *Async) Close() {
	a.once.Do(func() { close(a.ended) })
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines.Items():
			a.write(line)
		case <-a.ended:
			a.drain()
			return
		}
	}
}

// drain writes what is left.
func (a *Async) drain() {
	for {
		select {
		case line := <-a.lines.Items():
			a.write(line)
		default:
			return
		}
	}
}

// write writes one line, and before it how many were lost. A log that cannot be
// written has nowhere to say so.
func (a *Async) write(line []byte) {
	if dropped := a.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(a.to, "{\"fields\":{\"dropped\":%d},\"level\":\"warn\",\"message\":\"log lines dropped, the log is not read fast enough\"}\n", dropped)
	}
	_, _ = a.to.Write(line)
}
