package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Answer is the answer to one request. Its body is read by one goroutine. Close
// must be called.
type Answer struct {
	Status int
	Header http.Header

	client  *Client
	conn    *conn
	body    io.ReadCloser
	keep    bool
	whole   bool
	ctx     context.Context
	release func() bool
	written *bodyWriter
}

// Read reads the body; io.EOF means that it is whole. Other errors are
// *verdict.Error: the connection broke, or the context ended.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		a.whole = true
		return n, io.EOF
	}
	return n, broken(a.ctx, err)
}

// Whole reports whether the body was read to its end.
func (a *Answer) Whole() bool { return a.whole }

// Close keeps the connection for another request if the answer was read to its
// end and nothing speaks against it, and closes it otherwise.
func (a *Answer) Close() {
	undisturbed := a.release()
	if a.whole && a.keep && undisturbed && a.written.whole() && a.conn.reader.Buffered() == 0 {
		a.client.release(a.conn, a.Header)
		return
	}
	a.conn.close()
}
