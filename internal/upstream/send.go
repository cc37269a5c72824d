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

	"ibisline/internal/httpresponse"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
	// MayStart, if not nil, is called right before the first byte is written, after any wait for a connection.
	// The request is not sent if it returns false.
	MayStart func() bool
	// NewConnection forbids the reuse of an idle connection, whose server may be gone already. A
	// request that fails on a new one has failed while its server was alive.
	NewConnection bool
}

// Kinds of send failures. They are causes of the *verdict.Error values that Send and
// Response return.
var (
	// ErrConnect means that no connection could be established, so nothing was sent.
	ErrConnect = errors.New("no connection to the backend server")
	// ErrExhausted means that the process has no descriptor left for a connection, so nothing was sent.
	ErrExhausted = errors.New("too many connections to backend servers")
	// ErrEnded means that the context had ended before the request was written, so nothing was sent.
	ErrEnded = errors.New("the request has ended")
	// ErrWithdrawn means that MayStart returned false, so nothing was sent.
	ErrWithdrawn = errors.New("the request may not be sent to the server any more")
	// ErrUnwritten means that no byte of the request was written to the connection.
	ErrUnwritten = errors.New("request not written")
	// ErrBroken means that the connection failed after the request was sent.
	ErrBroken = errors.New("connection to the backend server failed")
	// ErrMalformed means that the received data is not a response to the request.
	ErrMalformed = httpresponse.ErrMalformed
)

// maxForeignResponses is the number of response heads that are read on one connection
// in search of the one that belongs to the request.
const maxForeignResponses = 4

// maxForeignBodyBytes is the maximum body size of a skipped response.
const maxForeignBodyBytes = 1 << 20

// Send sends a request once and waits for the head of its response. When ctx is done it
// returns and closes the connection, which signals the server to stop. Errors are
// *verdict.Error: NotRun only if no byte was written to a connection.
func (c *Client) Send(ctx context.Context, server structs.Server, request Request) (*Response, error) {
	cn, err := c.acquire(ctx, server, request)
	if errors.Is(err, errExhausted) {
		return nil, notSentError(ctx, ErrExhausted, err)
	}
	if err != nil {
		return nil, notSentError(ctx, ErrConnect, err)
	}
	stopInterrupt := context.AfterFunc(ctx, cn.interrupt)
	writer := newRequestWriter(cn, request)
	if err := writer.start(ctx); err != nil {
		stopInterrupt()
		cn.close()
		switch {
		case writer.bytesWritten.Load() > 0:
			return nil, unknownOutcomeError(ctx, err)
		case ended(ctx) != nil:
			return nil, notSentError(ctx, ErrEnded, err)
		case errors.Is(err, ErrWithdrawn):
			return nil, notSentError(ctx, ErrWithdrawn, err)
		default:
			return nil, notSentError(ctx, ErrUnwritten, err)
		}
	}
	response, err := c.readResponse(cn, request)
	if err != nil {
		stopInterrupt()
		cn.close()
		return nil, unknownOutcomeError(ctx, err)
	}
	cn.answeredBefore = true
	return &Response{
		Status:        response.StatusCode,
		Header:        response.Header,
		Length:        bodyLength(response),
		requestID:     request.ID,
		client:        c,
		conn:          cn,
		body:          response.Body,
		keepAlive:     !response.Close,
		framed:        !httpresponse.EndsWithConnection(response),
		ctx:           ctx,
		stopInterrupt: stopInterrupt,
	}, nil
}

// bodyLength returns the size of the body of a response, -1 if it is not known.
func bodyLength(response *http.Response) int64 {
	if response.Body == http.NoBody {
		// Its head may tell the length of the body that the response to another request would have.
		return 0
	}
	return response.ContentLength
}

// readResponse reads response heads until one carries the identifier of the request.
func (c *Client) readResponse(cn *conn, request Request) (*http.Response, error) {
	for range maxForeignResponses {
		response, err := cn.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := c.config.RequestID(response.Header)
		if id == request.ID || (id == "" && !cn.answeredBefore) {
			return response, nil
		}
		c.foreignResponses.Inc()
		if err := cn.skipBody(response); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, errors.Wrap(ErrMalformed, "only responses to other requests received")
}

// errHeadEncoded ends the encoding of a request before its body.
var errHeadEncoded = errors.New("head of the request encoded")

// headOnly is a body that ends the encoding of its request at its first read.
type headOnly struct{ reached bool }

func (h *headOnly) Read([]byte) (int, error) {
	h.reached = true
	return 0, errHeadEncoded
}

// encodeHead returns the head of the request in HTTP/1.1 wire format.
func (o Request) encodeHead() ([]byte, error) {
	path, query, hasQuery := strings.Cut(o.Target, "?")
	r := &http.Request{
		Method:        o.Method,
		URL:           &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
		Host:          o.Host,
		Header:        o.Header,
		Body:          http.NoBody,
		ContentLength: int64(len(o.Body)),
	}
	var body headOnly
	if len(o.Body) > 0 {
		r.Body = io.NopCloser(&body)
	}
	if _, present := o.Header["User-Agent"]; !present {
		// Without an entry net/http adds its own User-Agent.
		o.Header["User-Agent"] = []string{""}
	}
	var head bytes.Buffer
	head.Grow(headSizeHintBytes + min(len(o.Body), inlineBytes))
	if err := r.Write(&head); err != nil && !body.reached {
		return nil, err
	}
	return head.Bytes(), nil
}

// headSizeHintBytes is the typical size of a request head.
const headSizeHintBytes = 1 << 10

// ended returns the error of a context that has ended, also if only its deadline has passed: in a
// process that was suspended its timer may not have fired yet.
func ended(ctx context.Context) error {
	if deadline, limited := ctx.Deadline(); limited && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// notSentError returns the error of a send that did not reach the server.
func notSentError(ctx context.Context, kind, cause error) *verdict.Error {
	reason := verdict.BackendFailed
	if err := ended(ctx); err != nil {
		reason = contextReason(err)
	}
	return verdict.Wrap(&Failure{Kind: kind, Cause: cause}, verdict.NotRun, reason, "request not sent")
}

// unknownOutcomeError returns the error of a send whose request may have run.
func unknownOutcomeError(ctx context.Context, cause error) *verdict.Error {
	reason := verdict.BackendFailed
	if err := ctx.Err(); err != nil {
		reason = contextReason(err)
	}
	kind := ErrBroken
	if isMalformed(cause) {
		kind = ErrMalformed
	}
	return verdict.Wrap(&Failure{Kind: kind, Cause: cause}, verdict.MayHaveRun, reason, "request sent, no whole answer")
}

// contextReason distinguishes an exceeded deadline from a cancellation by the caller.
func contextReason(err error) verdict.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.BackendTimeout
	}
	return verdict.Canceled
}

// Failure is the cause of an error returned by this package. Kind is one of the Err values.
type Failure struct {
	Kind  error
	Cause error
}

func (f *Failure) Error() string { return f.Kind.Error() + ": " + f.Cause.Error() }

// Unwrap returns Kind and Cause.
func (f *Failure) Unwrap() []error { return []error{f.Kind, f.Cause} }
