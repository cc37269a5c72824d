// Package backend contains the HTTP clients for backend servers: model engines and
// plain services. The verdict of a failed request depends on whether it got a
// connection, not on a status code.
package backend

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"ibisline/internal/httpresponse"
	"ibisline/internal/verdict"
)

// Causes of failed requests, for errors.Is. They are not transmitted to other
// daemons.
var (
	// ErrUnreachable means that no connection to the server was made.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrLeaving means that the server refuses new work because it is leaving.
	ErrLeaving = errors.New("backend server is leaving")
	// ErrTruncated means that the connection ended before the complete response arrived.
	ErrTruncated = errors.New("response truncated")
	// ErrStalled means that the server sent nothing for too long.
	ErrStalled = errors.New("response stalled")
	// ErrRejected means that the server responded with an unexpected status.
	ErrRejected = errors.New("request rejected by the backend server")
	// ErrNotHeld means that the engine holds no KV cache of the program.
	ErrNotHeld = errors.New("engine holds no KV cache of the program")
)

const (
	// HeaderRequestID carries the request ID to an engine.
	HeaderRequestID = "X-Request-Id"
	// HeaderCallKey and HeaderCallRequestID carry the call key and the request ID to
	// a plain service.
	HeaderCallKey       = "Ibis-Call-Key"
	HeaderCallRequestID = "Ibis-Request-Id"

	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 64
	maxReplyBytes    = 4 << 20
	maxHeadBytes     = 64 << 10
)

// breakerName is the name of the circuit breaker that httpc uses. The breaker is
// disabled because only the dispatcher decides on admission.
const breakerName = "ibisline-backend"

func init() { breaker.NoBreakerFor(breakerName) }

// newService returns an HTTP client that follows no redirects. With newConns, each
// request uses a new connection, because net/http may resend a request that failed
// on a reused one.
func newService(newConns bool) httpc.Service {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   newConns,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	client := &http.Client{
		Transport: httpresponse.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return httpc.NewServiceWithClient(breakerName, client)
}

// exchange is one request. It records whether the request got a connection.
type exchange struct {
	gotConn atomic.Bool
}

// do sends the request once. The verdict of an error is NotRun only if the request
// never got a connection.
func (x *exchange) do(service httpc.Service, request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.gotConn.Store(true) },
	}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := service.DoRequest(request.WithContext(ctx))
	if err != nil {
		return nil, x.classify(request.Context(), err)
	}
	return response, nil
}

// classify returns the verdict and reason for a transport error.
func (x *exchange) classify(ctx context.Context, err error) *verdict.Error {
	outcome := verdict.MayHaveRun
	if !x.gotConn.Load() {
		outcome = verdict.NotRun
	}
	switch {
	case errors.Is(context.Cause(ctx), ErrStalled):
		return verdict.Wrap(ErrStalled, outcome, verdict.BackendTimeout, "backend server sent nothing for too long")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Wrap(err, outcome, verdict.BackendTimeout, "backend server did not answer in time")
	case ctx.Err() != nil:
		return verdict.Wrap(ctx.Err(), outcome, verdict.Canceled, "request canceled")
	case outcome == verdict.NotRun:
		cause := errors.Join(ErrUnreachable, err)
		return verdict.Wrap(cause, outcome, verdict.BackendFailed, "no connection to the backend server")
	default:
		cause := errors.Join(ErrTruncated, err)
		return verdict.Wrap(cause, outcome, verdict.BackendFailed, "connection to the backend server failed")
	}
}

// readJSON decodes a reply of bounded size and closes its body.
func readJSON(response *http.Response, reply any) error {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}

// discard reads and closes the body, so that the connection can be reused.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxReplyBytes)
	_ = response.Body.Close()
}

// unexpectedStatus returns the error for a status that the API does not define.
func unexpectedStatus(response *http.Response) *verdict.Error {
	cause := errors.Wrapf(ErrRejected, "status %d", response.StatusCode)
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.BackendFailed, "unexpected answer of the backend server")
}
