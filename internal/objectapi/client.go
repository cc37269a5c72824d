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
	"ibisline/internal/httpresponse"
)

// serviceName is the name of the platform in httpc.
const serviceName = "platform"

// Defaults of Config.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultListTimeout  = 30 * time.Second
	DefaultWatchTimeout = 25 * time.Second
	DefaultReadAttempts = 3
	DefaultRetryRate    = 5
	defaultRetryBurst   = 10
	retryInitialDelay   = 50 * time.Millisecond
	retryMaxDelay       = 500 * time.Millisecond
	idleConnections     = 64
	// watchMargin is the difference between the client's timeout of a watch and the
	// wait that is requested from the server, so that the server ends it first.
	watchMargin = 5 * time.Second
)

// Config holds the settings of a Client. Zero fields take their defaults.
type Config struct {
	// Addrs are the addresses of the object API, IP:port. Calls use one of them;
	// after a failure the following calls use the next one.
	Addrs []string
	// Timeout bounds one attempt of a get, put or delete.
	Timeout time.Duration
	// ListTimeout bounds one attempt of a list.
	ListTimeout time.Duration
	// WatchTimeout bounds one watch. It must exceed the 20 s after which the server
	// ends a watch itself.
	WatchTimeout time.Duration
	// ReadAttempts is the maximum number of attempts of one read.
	ReadAttempts uint
	// RetryRate is the retry budget of reads, in retries per second.
	RetryRate float64
	// Protocol is the wire protocol of the object API; the default is Native.
	Protocol Protocol
}

// withDefaults returns c with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.Timeout, DefaultTimeout)
	defaults.Set(&c.ListTimeout, DefaultListTimeout)
	defaults.Set(&c.WatchTimeout, DefaultWatchTimeout)
	defaults.Set(&c.ReadAttempts, DefaultReadAttempts)
	defaults.Set(&c.RetryRate, DefaultRetryRate)
	if c.Protocol == nil {
		c.Protocol = Native{}
	}
	return c
}

// Client implements Store over HTTP. It retries reads within a budget. It sends a
// write once: it follows no redirects and net/http does not resend the request.
type Client struct {
	config    Config
	service   httpc.Service
	addrIndex atomic.Uint64
	retries   *rate.Limiter
	set       *metrics.Set
	logger    log.Interface

	unreadable     *metrics.Counter
	unreadableLogs *rate.Limiter
}

var _ Store = (*Client)(nil)

// NewClient returns a client that counts its calls in set, by kind and outcome.
func NewClient(config Config, set *metrics.Set, logger log.Interface) *Client {
	config = config.withDefaults()
	// The circuit breaker of httpc would still reject calls after an outage has ended.
	breaker.NoBreakerFor(serviceName)
	return &Client{
		config:  config,
		service: httpc.NewServiceWithClient(serviceName, newHTTPClient()),
		retries: rate.NewLimiter(rate.Limit(config.RetryRate), defaultRetryBurst),
		set:     set,
		logger:  logger,

		unreadable:     set.GetOrCreateCounter("ibisline_platform_unreadable_objects_total"),
		unreadableLogs: rate.NewLimiter(rate.Every(unreadableLogInterval), 1),
	}
}

// newHTTPClient returns an HTTP client without redirects and without a proxy.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = idleConnections
	return &http.Client{
		Transport: httpresponse.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Get returns one object or ErrNotFound. It retries like every read.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	apiCall := call{kind: "get", request: c.config.Protocol.Get(key), timeout: c.config.Timeout}
	err := c.read(ctx, apiCall, func(body []byte) (err error) {
		object, err = c.config.Protocol.DecodeObject(body)
		return err
	})
	return object, err
}

// Put writes an object if its version equals expected. It is sent once.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var version int64
	apiCall := call{kind: "put", request: c.config.Protocol.Put(key, value, expected), timeout: c.config.Timeout}
	err := c.attempt(ctx, apiCall, func(body []byte) (err error) {
		version, err = c.config.Protocol.DecodePut(body)
		return err
	})
	return version, err
}

// Delete removes an object if its version equals expected. It is sent once.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	apiCall := call{kind: "delete", request: c.config.Protocol.Delete(key, expected), timeout: c.config.Timeout}
	return c.attempt(ctx, apiCall, func([]byte) error { return nil })
}

// List returns all objects under prefix. The revision is that of the first page, so
// that a watch from there includes changes made between two page requests.
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

// page reads one page of a listing, starting after the given name.
func (c *Client) page(ctx context.Context, prefix, after string) (Page, error) {
	var page Page
	apiCall := call{kind: "list", request: c.config.Protocol.List(prefix, after), timeout: c.config.ListTimeout}
	err := c.read(ctx, apiCall, func(body []byte) (err error) {
		page, err = c.config.Protocol.DecodePage(prefix, body)
		return err
	})
	c.reportUnreadable(prefix, page.Unreadable)
	return page, err
}

// Watch does one long poll without retries. It returns promptly without events and
// without an error when ctx ends.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]Event, int64, error) {
	apiCall := call{
		kind:    "watch",
		request: c.config.Protocol.Watch(prefix, after, c.config.WatchTimeout-watchMargin),
		timeout: c.config.WatchTimeout,
	}
	var changes Changes
	err := readError(c.attempt(ctx, apiCall, func(body []byte) (err error) {
		changes, err = c.config.Protocol.DecodeEvents(prefix, body)
		return err
	}))
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	if err != nil {
		return nil, 0, err
	}
	c.reportUnreadable(prefix, changes.Unreadable)
	return changes.Events, changes.Revision, nil
}

// unreadableLogInterval is the minimum time between two log lines about unreadable objects, which
// every listing contains again.
const unreadableLogInterval = time.Minute

// reportUnreadable counts objects that were left out, and logs them from time to time.
func (c *Client) reportUnreadable(prefix string, unreadable int) {
	if unreadable == 0 {
		return
	}
	c.unreadable.Add(unreadable)
	if c.unreadableLogs.Allow() {
		c.logger.WithField("prefix", prefix).WithField("objects", unreadable).Warn("unreadable objects of the platform left out")
	}
}

// read sends a call until it succeeds, fails permanently, runs out of attempts or
// exhausts the retry budget.
func (c *Client) read(ctx context.Context, apiCall call, decode func(body []byte) error) error {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = retryInitialDelay
	backOff.MaxInterval = retryMaxDelay
	attemptsLeft := c.config.ReadAttempts
	operation := func() (struct{}, error) {
		attemptsLeft--
		err := readError(c.attempt(ctx, apiCall, decode))
		if errors.Is(err, ErrUnavailable) && attemptsLeft > 0 && c.retries.Allow() {
			return struct{}{}, err
		}
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, nil
	}
	_, err := backoff.Retry(ctx, operation, backoff.WithBackOff(backOff))
	return readError(err)
}

// readError converts an unknown outcome and a canceled wait to ErrUnavailable,
// because a read has no side effects.
func readError(err error) error {
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
