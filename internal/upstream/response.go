package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"ibisline/internal/verdict"
)

// Response is the response to one request. Its body must be read by a single goroutine,
// and Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, -1 if the head does not tell it.
	Length int64

	requestID     string
	client        *Client
	conn          *conn
	body          io.ReadCloser
	keepAlive     bool
	complete      bool
	framed        bool
	ctx           context.Context
	stopInterrupt func() bool
}

// Read reads the body. It returns io.EOF at the end of a complete body. Any other error
// is a *verdict.Error: the connection failed, or the context is done.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	return n, unknownOutcomeError(r.ctx, err)
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.complete }

// Framed reports whether the body has an end of its own. The end of another one is that of the
// connection, which a server that breaks off may have closed.
func (r *Response) Framed() bool { return r.framed }

// Broken returns the error of a response that was broken off although its connection was closed
// in order.
func (r *Response) Broken(cause error) *verdict.Error { return unknownOutcomeError(r.ctx, cause) }

// Close keeps the connection for reuse if the response was read to its end, the request
// was written completely, the server keeps the connection open and no further data has
// arrived. Otherwise it closes the connection.
func (r *Response) Close() {
	uninterrupted := r.stopInterrupt()
	if r.complete && r.keepAlive && uninterrupted && r.conn.checked.CheckWritten() == nil && r.conn.reader.Buffered() == 0 {
		r.client.putIdle(r.conn, r.Header)
		return
	}
	r.conn.close()
}
