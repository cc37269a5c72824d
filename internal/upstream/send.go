package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Outgoing is a request as it is sent to a backend server.
type Outgoing struct {
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as the caller sent it.
	Target string
	Header http.Header
	Body   []byte
}

// Errors that say how a send failed. They are causes of the *verdict.Error that
// Send and Answer return.
var (
	// ErrConnect: no connection could be made, so that nothing was sent.
	ErrConnect = errors.New("no connection to the backend server")
	// ErrUnwritten: the connection took no byte of the request.
	ErrUnwritten = errors.New("request not written")
	// ErrBroken: the connection broke after the request was sent.
	ErrBroken = errors.New("connection to the backend server broke")
	// ErrMalformed: what came is no answer to the request.
	ErrMalformed = errors.New("answer is malformed")
)

// maxForeign bounds the answers to other requests that are skipped on one
// connection.
const maxForeign = 4

// maxForeignBytes bounds the body of such an answer.
const maxForeignBytes = 1 << 20

// Send sends a request once and waits for the head of its answer. It ends when ctx
// does; the connection is closed then, which tells the server to stop. Errors are
// *verdict.Error: NotRun only if no byte was handed to a connection.
func (c *Client) Send(ctx context.Context, server structs.Server, out Outgoing) (*Answer, error) {
	used, err := c.acquire(ctx, server)
	if err != nil {
		return nil, notSent(ctx, ErrConnect, err)
	}
	release := context.AfterFunc(ctx, used.interrupt)
	written := newBodyWriter(used, out)
	if err := written.start(); err != nil {
		release()
		used.close()
		if written.count.Load() == 0 {
			return nil, notSent(ctx, ErrUnwritten, err)
		}
		return nil, broken(ctx, err)
	}
	response, err := c.readHead(used, out)
	if err != nil {
		release()
		used.close()
		return nil, broken(ctx, err)
	}
	used.used = true
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		client:  c,
		conn:    used,
		body:    response.Body,
		keep:    !response.Close,
		ctx:     ctx,
		release: release,
		written: written,
	}, nil
}

// readHead reads heads of answers until one names the request.
func (c *Client) readHead(used *conn, out Outgoing) (*http.Response, error) {
	for range maxForeign {
		response, err := http.ReadResponse(used.reader, &http.Request{Method: out.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		named := c.config.RequestOf(response.Header)
		if named == out.ID || (named == "" && !used.used) {
			return response, nil
		}
		c.skipped.Inc()
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, errors.Wrap(ErrMalformed, "answers of other requests")
}

// encode returns the request as bytes.
func (o Outgoing) encode() ([]byte, error) {
	path, query, hasQuery := strings.Cut(o.Target, "?")
	r := &http.Request{
		Method:        o.Method,
		URL:           &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
		Host:          o.Host,
		Header:        o.Header,
		Body:          http.NoBody,
		ContentLength: int64(len(o.Body)),
	}
	if len(o.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(o.Body))
	}
	if _, named := o.Header["User-Agent"]; !named {
		// Without an entry net/http adds its own.
		o.Header["User-Agent"] = []string{""}
	}
	var encoded bytes.Buffer
	encoded.Grow(len(o.Body) + headBytes)
	if err := r.Write(&encoded); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}

// headBytes is a usual size of the head of a request.
const headBytes = 1 << 10

// notSent returns the error of a send of which the server saw nothing.
func notSent(ctx context.Context, kind, cause error) *verdict.Error {
	reason := verdict.BackendFailed
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	return verdict.Wrap(&Failure{Kind: kind, Cause: cause}, verdict.NotRun, reason, "request not sent")
}

// broken returns the error of a send whose outcome is not known.
func broken(ctx context.Context, cause error) *verdict.Error {
	reason := verdict.BackendFailed
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	kind := ErrBroken
	if errors.Is(cause, ErrMalformed) {
		kind = ErrMalformed
	}
	return verdict.Wrap(&Failure{Kind: kind, Cause: cause}, verdict.MayHaveRun, reason, "request sent, no whole answer")
}

// endReason tells a deadline from a caller that went away.
func endReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.BackendTimeout
	}
	return verdict.Canceled
}

// Failure is the cause of an error of this package. Kind is one of its errors.
type Failure struct {
	Kind  error
	Cause error
}

// Error implements error.
func (f *Failure) Error() string { return f.Kind.Error() + ": " + f.Cause.Error() }

// Unwrap returns kind and cause.
func (f *Failure) Unwrap() []error { return []error{f.Kind, f.Cause} }

// writeGrace is the time that an answered request has for the rest of its body.
const writeGrace = 200 * time.Millisecond
