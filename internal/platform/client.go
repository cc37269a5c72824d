package platform

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

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"golang.org/x/time/rate"

	"ibisline/internal/defaults"
)

// serviceName names the platform towards httpc.
const serviceName = "platform"

// Defaults of Config.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultListTimeout  = 30 * time.Second
	DefaultWatchTimeout = 25 * time.Second
	DefaultReadTries    = 3
	DefaultRetryRate    = 5
	defaultRetryBurst   = 10
	retryInitialWait    = 50 * time.Millisecond
	retryMaxWait        = 500 * time.Millisecond
	idleConnections     = 64
)

// Config says how the platform is reached. Zero fields take their default.
type Config struct {
	// Addrs are the addresses of the object API, IP:port. A call goes to one
	// of them; after a failure the next call goes to the next one.
	Addrs []string
	// Timeout bounds one attempt of a get, put or delete.
	Timeout time.Duration
	// ListTimeout bounds one attempt of a list.
	ListTimeout time.Duration
	// WatchTimeout bounds one watch; it exceeds the server's own 20 s.
	WatchTimeout time.Duration
	// ReadTries bounds the attempts of one read.
	ReadTries uint
	// RetryRate is the budget of repeated reads, in retries a second.
	RetryRate float64
}

// withDefaults returns c with its zero fields filled in.
func (c Config) withDefaults() Config {
	defaults.Set(&c.Timeout, DefaultTimeout)
	defaults.Set(&c.ListTimeout, DefaultListTimeout)
	defaults.Set(&c.WatchTimeout, DefaultWatchTimeout)
	defaults.Set(&c.ReadTries, DefaultReadTries)
	defaults.Set(&c.RetryRate, DefaultRetryRate)
	return c
}

// Client implements Store over HTTP. Reads are repeated inside a budget; a write
// is sent once, and neither redirects nor net/http's own repeats apply to it.
type Client struct {
	config  Config
	service httpc.Service
	next    atomic.Uint64
	retries *rate.Limiter
	set     *metrics.Set
	logger  log.Interface
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It counts calls in set by kind and outcome.
func NewClient(config Config, set *metrics.Set, logger log.Interface) *Client {
	config = config.withDefaults()
	// The breaker would refuse calls for reasons of its own after an outage.
	breaker.NoBreakerFor(serviceName)
	return &Client{
		config:  config,
		service: httpc.NewServiceWithClient(serviceName, newHTTPClient()),
		retries: rate.NewLimiter(rate.Limit(config.RetryRate), defaultRetryBurst),
		set:     set,
		logger:  logger,
	}
}

// newHTTPClient returns an HTTP client that follows no redirects and uses no proxy.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = idleConnections
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// call is one request to the object API.
type call struct {
	kind    string
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.read(ctx, call{
		kind:    "get",
		method:  http.MethodGet,
		path:    objectPath(key),
		timeout: c.config.Timeout,
	}, &object)
	return object, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var reply PutReply
	err := c.write(ctx, call{
		kind:    "put",
		method:  http.MethodPut,
		path:    objectPath(key),
		query:   expectedQuery(expected),
		body:    value,
		timeout: c.config.Timeout,
	}, &reply)
	return reply.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	return c.write(ctx, call{
		kind:    "delete",
		method:  http.MethodDelete,
		path:    objectPath(key),
		query:   expectedQuery(expected),
		timeout: c.config.Timeout,
	}, &struct{}{})
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	var reply ListReply
	err := c.read(ctx, call{
		kind:    "list",
		method:  http.MethodGet,
		path:    "/v1/objects",
		query:   url.Values{"prefix": {prefix}},
		timeout: c.config.ListTimeout,
	}, &reply)
	return reply.Objects, reply.Revision, err
}

// Watch implements Store. It is one call that waits; it is not repeated here. It
// returns promptly without events when ctx ends.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]Event, int64, error) {
	request := call{
		kind:    "watch",
		method:  http.MethodGet,
		path:    "/v1/watch",
		query:   url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}},
		timeout: c.config.WatchTimeout,
	}
	var reply WatchReply
	err := asRead(c.attempt(ctx, request, &reply))
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return reply.Events, reply.Revision, nil
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

// write sends a call once.
func (c *Client) write(ctx context.Context, request call, reply any) error {
	return c.attempt(ctx, request, reply)
}

// read sends a call until it is answered, the tries are used up or the budget of
// retries is spent.
func (c *Client) read(ctx context.Context, request call, reply any) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = retryInitialWait
	waits.MaxInterval = retryMaxWait
	left := c.config.ReadTries
	operation := func() (struct{}, error) {
		left--
		err := asRead(c.attempt(ctx, request, reply))
		if errors.Is(err, ErrUnavailable) && left > 0 && c.retries.Allow() {
			return struct{}{}, err
		}
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, nil
	}
	_, err := backoff.Retry(ctx, operation, backoff.WithBackOff(waits))
	return asRead(err)
}

// asRead turns an unknown outcome, and a wait ended by its context, into
// ErrUnavailable: a read changes nothing.
func asRead(err error) error {
	if err == nil || !errors.Is(err, ErrUnknown) && isStoreError(err) {
		return err
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

// isStoreError reports whether err is one of the errors of Store.
func isStoreError(err error) bool {
	known := []error{ErrNotFound, ErrConflict, ErrTooLarge, ErrUnavailable, ErrUnknown, ErrCompacted}
	for _, e := range known {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
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
