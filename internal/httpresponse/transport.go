package httpresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Transport is a transport of net/http that returns an error for what counts as no response. It is safe for
// concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends requests through base, which must have a DialContext and must
// not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request like http.Transport does.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if got, ok := info.Conn.(*Conn); ok {
				got.BeginRequest()
				_ = got.BeginHead(nil) // Read returns the error too.
				conn.Store(got)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if got := conn.Load(); got != nil {
				got.EndRequest(info.Err)
			}
		},
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		if got := conn.Load(); got != nil && got.Malformed() != nil {
			return nil, got.Malformed()
		}
		return nil, err
	}
	if used := conn.Load(); used != nil && EndsWithConnection(response) {
		response.Body = &closeDelimitedBody{ReadCloser: response.Body, conn: used}
	}
	return response, nil
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that its
// end is that of the connection.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read returns io.EOF only at the end of a complete body.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.conn.CheckEnd(); cause != nil {
			return n, cause
		}
	}
	return n, err
}
