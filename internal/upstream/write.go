package upstream

import (
	"context"
	"sync/atomic"
	"time"
)

// inlineBytes is the number of bytes of a request that are written before its response
// is read. The rest of a longer request is written concurrently, because a server may
// respond before it has read the whole body.
const inlineBytes = 64 << 10

// requestWriter writes a request and counts the bytes written to the connection.
type requestWriter struct {
	conn         *conn
	request      Request
	bytesWritten atomic.Int64
	done         chan struct{}
	err          error
}

func newRequestWriter(cn *conn, request Request) *requestWriter {
	return &requestWriter{conn: cn, request: request, done: make(chan struct{})}
}

// start writes up to inlineBytes of the request and the rest in the background. It writes nothing if ctx
// has ended.
func (w *requestWriter) start(ctx context.Context) error {
	encoded, err := w.request.encode()
	if err == nil {
		err = ended(ctx)
	}
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

func (w *requestWriter) write(part []byte) error {
	n, err := w.conn.Write(part)
	w.bytesWritten.Add(int64(n))
	return err
}

// waitComplete waits up to requestWriteGrace for the end of the write and reports
// whether the whole request was written. Otherwise the connection must not be reused:
// the server would take the next request for the rest of this one.
func (w *requestWriter) waitComplete() bool {
	select {
	case <-w.done:
		return w.err == nil
	case <-time.After(requestWriteGrace):
		return false
	}
}
