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

// attempt sends a call once, counts it and decodes the body of a success.
func (c *Client) attempt(ctx context.Context, sent call, decode func(body []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, sent.timeout)
	defer cancel()
	err := c.exchange(ctx, sent, decode)
	c.count(sent.kind, err)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		c.next.Add(1)
		c.logger.WithError(err).WithField("call", sent.kind).Debug("platform call failed")
	}
	return err
}

// exchange sends the request and maps its outcome to an error of Store. An error
// before a connection was taken proves that nothing was sent.
func (c *Client) exchange(ctx context.Context, sent call, decode func(body []byte) error) error {
	var left atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { left.Store(true) },
	})
	r, err := c.newRequest(ctx, sent.request)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	response, err := c.service.DoRequest(r)
	if err != nil && !left.Load() {
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

// newRequest builds the HTTP request. A body cannot be read twice, so that
// net/http has no means to send it again.
func (c *Client) newRequest(ctx context.Context, request Request) (*http.Request, error) {
	if len(c.config.Addrs) == 0 {
		return nil, errors.New("no platform address is set")
	}
	addr := c.config.Addrs[c.next.Load()%uint64(len(c.config.Addrs))]
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

// count adds one call to the metrics.
func (c *Client) count(kind string, err error) {
	name := fmt.Sprintf("ibisline_platform_calls_total{kind=%q,outcome=%q}", kind, outcomeOf(err))
	c.set.GetOrCreateCounter(name).Inc()
}

// outcomeOf names the outcome of a call in metrics.
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
