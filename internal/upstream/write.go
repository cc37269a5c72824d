package upstream

import (
	"context"
	"sync/atomic"
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
}

func newRequestWriter(cn *conn, request Request) *requestWriter {
	return &requestWriter{conn: cn, request: request}
}

// start writes up to inlineBytes of the request and the rest in the background. It writes nothing if ctx
// has ended or the request may not start any more. The body is not copied beyond inlineBytes, as many large
// requests may be sent at a time.
func (w *requestWriter) start(ctx context.Context) error {
	first, err := w.request.encodeHead()
	if err == nil {
		err = ended(ctx)
	}
	if err == nil && w.request.MayStart != nil && !w.request.MayStart() {
		err = ErrWithdrawn
	}
	if err != nil {
		return err
	}
	inline := min(max(inlineBytes-len(first), 0), len(w.request.Body))
	first = append(first, w.request.Body[:inline]...)
	rest := w.request.Body[inline:]
	w.conn.checked.BeginRequest()
	if err := w.write(first); err != nil || len(rest) == 0 {
		w.conn.checked.EndRequest(err)
		return err
	}
	go func() { w.conn.checked.EndRequest(w.write(rest)) }()
	return nil
}

func (w *requestWriter) write(part []byte) error {
	n, err := w.conn.Write(part)
	w.bytesWritten.Add(int64(n))
	return err
}
