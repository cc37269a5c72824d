package objectapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// call is one request to the object API.
type call struct {
	kind    string
	request Request
	timeout time.Duration
}

// attempt sends a call once, counts it and decodes the body of a successful
// response. After a failure the following calls use the next address.
func (c *Client) attempt(ctx context.Context, apiCall call, decode func(body []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, apiCall.timeout)
	defer cancel()
	err := c.exchange(ctx, apiCall, decode)
	c.count(apiCall.kind, err)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		c.addrIndex.Add(1)
		c.logger.WithError(err).WithField("call", apiCall.kind).Debug("platform call failed")
	}
	return err
}

// exchange sends the request and maps its outcome to an error of Store. An error
// without a connection is ErrUnavailable, because nothing was sent.
func (c *Client) exchange(ctx context.Context, apiCall call, decode func(body []byte) error) error {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	r, err := c.newRequest(ctx, apiCall.request)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	response, err := c.service.DoRequest(r)
	if err != nil && !gotConn.Load() {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	defer response.Body.Close()
	if err := c.config.Protocol.Outcome(response.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	if err := decode(body); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return nil
}

// newRequest builds the HTTP request. GetBody is nil for writes, so that net/http
// cannot resend the body.
func (c *Client) newRequest(ctx context.Context, request Request) (*http.Request, error) {
	if len(c.config.Addrs) == 0 {
		return nil, errors.New("no platform address is configured")
	}
	addr := c.config.Addrs[c.addrIndex.Load()%uint64(len(c.config.Addrs))]
	target := "http://" + addr + request.Path
	if len(request.Query) > 0 {
		target += "?" + request.Query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, request.Method, target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if request.ContentType != "" {
		r.Header.Set("Content-Type", request.ContentType)
	}
	if request.Method != http.MethodGet {
		r.GetBody = nil
	}
	return r, nil
}

// count increments the call counter for the given kind and the outcome of err.
func (c *Client) count(kind string, err error) {
	name := fmt.Sprintf("ibisline_platform_calls_total{kind=%q,outcome=%q}", kind, outcomeOf(err))
	c.set.GetOrCreateCounter(name).Inc()
}

// outcomeOf returns the value of the outcome label for err.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrTooLarge):
		return "too_large"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}
