package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/httpresponse"
	"ibisline/internal/verdict"
)

const (
	// maxHeadBytes limits the head of a response.
	maxHeadBytes = 64 << 10
	// headTimeout is the time from the first byte of a response head to its end, and that for
	// the body of a response to another request.
	headTimeout = time.Second
	// drainTimeout limits the time for reading the rest of a response that is discarded.
	drainTimeout = 50 * time.Millisecond
)

// Causes of malformed responses.
var (
	errHeadTooLarge  = errors.New("response head too large")
	errHeadTooSlow   = errors.New("response head not completed in time")
	errBodyTooLarge  = errors.New("response body too large")
	errOtherTooLarge = errors.New("body of a response to another request too large or too slow")
)

// headLimiter limits the bytes read from a connection while a response head is read, because
// a faulty server may send bytes without end. A head is parsed in memory as a whole.
type headLimiter struct {
	net.Conn
	// limited is set while a head is read, and left is what may still be read for it.
	limited bool
	left    int
}

// limit starts the limit for the next head.
func (l *headLimiter) limit() { l.limited, l.left = true, maxHeadBytes }

// lift ends the limit.
func (l *headLimiter) lift() { l.limited = false }

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readHead waits for a response and reads its head within the limits. The time starts with
// the first byte, as a server may take long to respond.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limiter.limit()
	defer c.limiter.lift()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.checked.BeginHead(buffered); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(headTimeout, c.interrupt)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if !timer.Stop() {
		return nil, errHeadTooSlow
	}
	if malformed := c.checked.Malformed(); malformed != nil {
		return nil, malformed
	}
	if err == nil {
		httpresponse.CheckBody(response, c.checked)
	}
	return response, err
}

// skipBody reads the body of a response to another request.
func (c *conn) skipBody(response *http.Response) error {
	timer := time.AfterFunc(headTimeout, c.interrupt)
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBodyBytes+1))
	switch {
	case !timer.Stop() || n > maxForeignBodyBytes:
		return errOtherTooLarge
	default:
		return err
	}
}

// isMalformed reports whether an error means that the received bytes are no response.
func isMalformed(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, errHeadTooLarge) || errors.Is(err, errHeadTooSlow) ||
		errors.Is(err, errOtherTooLarge)
}

// ReadAll reads the whole body, of at most limit bytes. A longer one is a malformed response. Memory is
// allocated once if the length is known.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	tooLarge := func() error { return r.Malformed(errors.Wrapf(errBodyTooLarge, "more than %d bytes", limit)) }
	if r.Length > limit {
		return nil, tooLarge()
	}
	var body bytes.Buffer
	if r.Length >= 0 {
		// ReadFrom needs bytes.MinRead more to find the end without growing.
		body.Grow(int(r.Length) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(io.LimitReader(r, limit+1)); err != nil {
		return nil, err
	}
	if int64(body.Len()) > limit {
		return nil, tooLarge()
	}
	return body.Bytes(), nil
}

// Malformed returns the error of a response whose bytes are no answer to the request.
func (r *Response) Malformed(cause error) *verdict.Error {
	return unknownOutcomeError(r.ctx, errors.Wrap(ErrMalformed, cause.Error()))
}

// Discard reads the rest of a short response to a request that may be sent again, and closes
// it. Its connection can be reused for other requests.
func (r *Response) Discard(limit int64) {
	r.conn.rejected = append(r.conn.rejected, r.requestID)
	if len(r.conn.rejected) == maxRejected {
		r.keepAlive = false
	}
	timer := time.AfterFunc(drainTimeout, r.conn.interrupt)
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit))
	if !timer.Stop() {
		r.complete = false
	}
	r.Close()
}
