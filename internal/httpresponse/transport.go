package httpresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
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
	if used := conn.Load(); used != nil {
		CheckBody(response, used)
	}
	return response, nil
}
