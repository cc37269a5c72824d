package upstream

import (
	"sync/atomic"
	"time"
)

// inlineBytes is the size up to which a request is written before its answer is
// read. The rest of a longer one is written beside: a server may answer before it
// has read the whole body.
const inlineBytes = 64 << 10

// bodyWriter writes a request and counts what the connection took.
type bodyWriter struct {
	conn  *conn
	out   Outgoing
	count atomic.Int64
	done  chan struct{}
	err   error
}

func newBodyWriter(used *conn, out Outgoing) *bodyWriter {
	return &bodyWriter{conn: used, out: out, done: make(chan struct{})}
}

// start writes the request, or its first part.
func (w *bodyWriter) start() error {
	encoded, err := w.out.encode()
	if err != nil {
		close(w.done)
		return err
	}
	first := encoded[:min(len(encoded), inlineBytes)]
	if err := w.write(first); err != nil || len(first) == len(encoded) {
		close(w.done)
		return err
	}
	go func() {
		defer close(w.done)
		w.err = w.write(encoded[len(first):])
	}()
	return nil
}

func (w *bodyWriter) write(part []byte) error {
	n, err := w.conn.Write(part)
	w.count.Add(int64(n))
	return err
}

// whole waits a moment for the end of the request and reports whether all of it
// was written. The connection must not be used again otherwise: the server would
// take the next request for the rest of this one.
func (w *bodyWriter) whole() bool {
	select {
	case <-w.done:
		return w.err == nil
	case <-time.After(writeGrace):
		return false
	}
}
