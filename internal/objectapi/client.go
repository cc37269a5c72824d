package objectapi

import (
	"context"
	"net/http"
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
	// watchMargin is how much earlier than the client the server is to end the
	// wait of a watch.
	watchMargin = 5 * time.Second
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
	// Protocol is what the object API speaks; Native when nil.
	Protocol Protocol
}

// withDefaults returns c with its zero fields filled in.
func (c Config) withDefaults() Config {
	defaults.Set(&c.Timeout, DefaultTimeout)
	defaults.Set(&c.ListTimeout, DefaultListTimeout)
	defaults.Set(&c.WatchTimeout, DefaultWatchTimeout)
	defaults.Set(&c.ReadTries, DefaultReadTries)
	defaults.Set(&c.RetryRate, DefaultRetryRate)
	if c.Protocol == nil {
		c.Protocol = Native{}
	}
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

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	sent := call{kind: "get", request: c.config.Protocol.Get(key), timeout: c.config.Timeout}
	err := c.read(ctx, sent, func(body []byte) (err error) {
		object, err = c.config.Protocol.DecodeObject(body)
		return err
	})
	return object, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var version int64
	sent := call{kind: "put", request: c.config.Protocol.Put(key, value, expected), timeout: c.config.Timeout}
	err := c.attempt(ctx, sent, func(body []byte) (err error) {
		version, err = c.config.Protocol.DecodePut(body)
		return err
	})
	return version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	sent := call{kind: "delete", request: c.config.Protocol.Delete(key, expected), timeout: c.config.Timeout}
	return c.attempt(ctx, sent, func([]byte) error { return nil })
}

// List implements Store. The revision is that of the first page, so that a watch
// from there misses no change that came between two pages.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	first, err := c.page(ctx, prefix, "")
	if err != nil {
		return nil, 0, err
	}
	objects := first.Objects
	for next := first.Next; next != ""; {
		page, err := c.page(ctx, prefix, next)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, page.Objects...)
		next = page.Next
	}
	return objects, first.Revision, nil
}

// page reads one page of a listing.
func (c *Client) page(ctx context.Context, prefix, after string) (Page, error) {
	var page Page
	sent := call{kind: "list", request: c.config.Protocol.List(prefix, after), timeout: c.config.ListTimeout}
	err := c.read(ctx, sent, func(body []byte) (err error) {
		page, err = c.config.Protocol.DecodePage(prefix, body)
		return err
	})
	return page, err
}

// Watch implements Store. It is one call that waits; it is not repeated here. It
// returns promptly without events when ctx ends.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]Event, int64, error) {
	sent := call{
		kind:    "watch",
		request: c.config.Protocol.Watch(prefix, after, c.config.WatchTimeout-watchMargin),
		timeout: c.config.WatchTimeout,
	}
	var events []Event
	var revision int64
	err := asRead(c.attempt(ctx, sent, func(body []byte) (err error) {
		events, revision, err = c.config.Protocol.DecodeEvents(prefix, body)
		return err
	}))
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return events, revision, nil
}

// read sends a call until it is answered, the tries are used up or the budget of
// retries is spent.
func (c *Client) read(ctx context.Context, sent call, decode func(body []byte) error) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = retryInitialWait
	waits.MaxInterval = retryMaxWait
	left := c.config.ReadTries
	operation := func() (struct{}, error) {
		left--
		err := asRead(c.attempt(ctx, sent, decode))
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
