package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// call is one request to the object API.
type call struct {
	kind    string
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// attempt sends a call once, counts it and decodes a reply of status 200.
func (c *Client) attempt(ctx context.Context, request call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	err := c.exchange(ctx, request, reply)
	c.count(request.kind, err)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		c.next.Add(1)
		c.logger.WithError(err).WithField("call", request.kind).Debug("platform call failed")
	}
	return err
}

// exchange sends the request and maps its outcome to an error of Store. An error
// before a connection was taken proves that nothing was sent.
func (c *Client) exchange(ctx context.Context, request call, reply any) error {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := c.newRequest(ctx, request)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	response, err := c.service.DoRequest(r)
	if err != nil && !sent.Load() {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
		return err
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return nil
}

// newRequest builds the HTTP request. A body cannot be read twice, so that
// net/http has no means to send it again.
func (c *Client) newRequest(ctx context.Context, request call) (*http.Request, error) {
	if len(c.config.Addrs) == 0 {
		return nil, errors.New("no platform address is set")
	}
	addr := c.config.Addrs[c.next.Load()%uint64(len(c.config.Addrs))]
	target := "http://" + addr + request.path
	if len(request.query) > 0 {
		target += "?" + request.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	if request.method != http.MethodGet {
		r.GetBody = nil
	}
	return r, nil
}

// objectPath returns the escaped path of a key; slashes stay.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

// expectedQuery is the condition of a write.
func expectedQuery(expected int64) url.Values {
	return url.Values{"expected": {strconv.FormatInt(expected, 10)}}
}

// statusError maps a status of the object API to an error of Store.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusGone:
		return ErrCompacted
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return errors.Wrapf(ErrUnknown, "status %d", status)
	}
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
