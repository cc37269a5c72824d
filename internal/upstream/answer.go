package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Answer is the response to one request. Its body must be read by a single goroutine,
// and Close must be called.
type Answer struct {
	Status int
	Header http.Header

	client        *Client
	conn          *conn
	body          io.ReadCloser
	keepAlive     bool
	complete      bool
	ctx           context.Context
	stopInterrupt func() bool
	writer        *requestWriter
}

// Read reads the body. It returns io.EOF at the end of a complete body. Any other error
// is a *verdict.Error: the connection failed, or the context is done.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		a.complete = true
		return n, io.EOF
	}
	return n, unknownOutcomeError(a.ctx, err)
}

// Whole reports whether the body was read to its end.
func (a *Answer) Whole() bool { return a.complete }

// Close keeps the connection for reuse if the response was read to its end, the request
// was written completely, the server keeps the connection open and no further data has
// arrived. Otherwise it closes the connection.
func (a *Answer) Close() {
	uninterrupted := a.stopInterrupt()
	if a.complete && a.keepAlive && uninterrupted && a.writer.waitComplete() && a.conn.reader.Buffered() == 0 {
		a.client.putIdle(a.conn, a.Header)
		return
	}
	a.conn.close()
}
