package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/queue"
)

// maxQueuedLines is the number of lines that may be queued: more than a daemon writes in
// a second.
const maxQueuedLines = 1024

// AsyncWriter is an io.Writer that writes lines in its own goroutine, so that a slow
// reader of the log does not block requests. Lines that arrive while the queue is full
// are dropped and counted; a warning with their number precedes the next line that is
// written.
type AsyncWriter struct {
	out     io.Writer
	lines   *queue.Queue[[]byte]
	dropped atomic.Int64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer to w and starts its goroutine, which Close ends. The
// queue registers its metrics in set.
func NewAsyncWriter(w io.Writer, set *metrics.Set) *AsyncWriter {
	a := &AsyncWriter{
		out:   w,
		lines: queue.New[[]byte](set, "log", maxQueuedLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues one whole line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.stop) })
	<-a.done
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines.Items():
			a.write(line)
		case <-a.stop:
			a.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.lines.Items():
			a.write(line)
		default:
			return
		}
	}
}

// write writes one line, preceded by the number of dropped lines, if any. Errors are
// ignored, because there is no other place to report them.
func (a *AsyncWriter) write(line []byte) {
	if dropped := a.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(a.out, "{\"fields\":{\"dropped\":%d},\"level\":\"warn\",\"message\":\"log lines dropped, the log is not read fast enough\"}\n", dropped)
	}
	_, _ = a.out.Write(line)
}
