// Package backend holds the clients of the backend servers: model engines and
// plain services. Every failed request carries a verdict that follows from
// whether a connection was handed over, not from a status code.
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

	"ibisline/internal/verdict"
)

// Causes of failed requests, for errors.Is on this side of the wire.
var (
	// ErrUnreachable means that no connection to the server was made.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrLeaving means that the server refuses new work because it is leaving.
	ErrLeaving = errors.New("backend server is leaving")
	// ErrCut means that the connection ended before the whole answer arrived.
	ErrCut = errors.New("answer cut short")
	// ErrStalled means that the server sent nothing for too long.
	ErrStalled = errors.New("answer stalled")
	// ErrRejected means that the server answered with an unexpected status.
	ErrRejected = errors.New("request rejected by the backend server")
	// ErrNotHeld means that the engine holds no KV memory for the program.
	ErrNotHeld = errors.New("no KV memory held")
)

const (
	// HeaderRequestID names the request at an engine.
	HeaderRequestID = "X-Request-Id"
	// HeaderCallKey and HeaderCallRequestID name a call at a plain service.
	HeaderCallKey       = "Ibis-Call-Key"
	HeaderCallRequestID = "Ibis-Request-Id"

	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	idleConnsByHost = 64
	maxReplyBytes   = 4 << 20
)

// breakerName is the name under which httpc looks up a circuit breaker. It is
// switched off: admission is decided by the dispatcher alone.
const breakerName = "ibisline-backend"

func init() { breaker.NoBreakerFor(breakerName) }

// newService returns an HTTP client that follows no redirects. With fresh set,
// each request has a connection of its own, on which net/http repeats nothing.
func newService(fresh bool) httpc.Service {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsByHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	client := &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return httpc.NewServiceWithClient(breakerName, client)
}

// exchange is one request with the record of whether it got a connection.
type exchange struct {
	handed atomic.Bool
}

// do sends the request once. On an error the verdict is NotRun only if the
// request never had a connection.
func (x *exchange) do(service httpc.Service, request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.handed.Store(true) },
	}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := service.DoRequest(request.WithContext(ctx))
	if err != nil {
		return nil, x.classify(request.Context(), err)
	}
	return response, nil
}

// classify turns a transport error into a verdict.
func (x *exchange) classify(ctx context.Context, err error) *verdict.Error {
	outcome := verdict.MayHaveRun
	if !x.handed.Load() {
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
		cause := errors.Join(ErrCut, err)
		return verdict.Wrap(cause, outcome, verdict.BackendFailed, "connection to the backend server failed")
	}
}

// readJSON decodes a reply of bounded size and closes its body.
func readJSON(response *http.Response, into any) error {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}

// discard drops a reply so that its connection can be used again.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxReplyBytes)
	_ = response.Body.Close()
}

// rejected is the error for a status that the interface does not foresee.
func rejected(response *http.Response) *verdict.Error {
	cause := errors.Wrapf(ErrRejected, "status %d", response.StatusCode)
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.BackendFailed, "unexpected answer of the backend server")
}
