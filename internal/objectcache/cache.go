// Package objectcache keeps a local copy of the platform objects under one prefix, updated
// from a watch of the platform and from peer daemons. An older state never replaces
// a newer one.
//
// Only the daemons with the lowest ranks (by hash) hold a watch. Daemons exchange the
// version of the newest change that they have seen, and a daemon that is behind pulls
// the missing changes from a peer. A change therefore costs a few calls to the
// platform regardless of the fleet size, and also reaches daemons that the platform
// does not serve.
//
// A watch may silently miss changes, so the objects are also listed periodically.
// Daemons exchange the age of the newest listing; the first daemon that finds it too
// old lists again.
package objectcache

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/boottime"
	"ibisline/internal/defaults"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/replica"
)

// Defaults of Config.
const (
	// DefaultRetryWait and DefaultRetryMaxWait bound the backoff after failed
	// calls. With the maximum, a daemon still sees a change within a second
	// after the platform recovers.
	DefaultRetryWait    = 100 * time.Millisecond
	DefaultRetryMaxWait = 800 * time.Millisecond
	// DefaultPullDelay is how long a daemon that learns of a newer change waits
	// for its own watch before it pulls the change from the peer.
	DefaultPullDelay = 150 * time.Millisecond
	// DefaultPullTimeout bounds one pull from a peer.
	DefaultPullTimeout = 500 * time.Millisecond
	// DefaultWatchers is the number of daemons that hold a watch: one more than
	// may fail or be rejected by the platform at the same time.
	DefaultWatchers = 3
	// DefaultRelistAfter is the age of the newest listing at which the daemon of
	// rank 0 lists again. The others wait RelistLag longer, the time in which a
	// listing becomes known to all daemons, plus RelistStep times their rank. A
	// change that the watches miss therefore reaches all daemons within 2.5 s,
	// even if the platform rejects the first four daemons.
	DefaultRelistAfter = 1100 * time.Millisecond
	DefaultRelistLag   = 500 * time.Millisecond
	DefaultRelistStep  = 100 * time.Millisecond
	// DefaultMinWatchInterval is the minimum delay between two watches, so that a
	// burst of changes costs one call.
	DefaultMinWatchInterval = 100 * time.Millisecond
	// DefaultFirstListDelay is how long a daemon without a copy waits for that of a peer before it lists
	// for the first time, and DefaultFirstListStep the time that it waits longer per rank. Otherwise the
	// calls to the platform after a loss of power grow with the fleet. Daemons that hold a
	// watch do not wait.
	DefaultFirstListDelay = 600 * time.Millisecond
	DefaultFirstListStep  = 20 * time.Millisecond
)

// Config holds the timing parameters of a Cache. Zero fields take their default.
type Config struct {
	RetryWait        time.Duration
	RetryMaxWait     time.Duration
	PullDelay        time.Duration
	PullTimeout      time.Duration
	MinWatchInterval time.Duration
	Watchers         int
	RelistAfter      time.Duration
	RelistLag        time.Duration
	RelistStep       time.Duration
	FirstListDelay   time.Duration
	FirstListStep    time.Duration
	// Transform, if not nil, replaces the value of each object of the platform before it is stored and
	// sent to peers.
	Transform func(value []byte) []byte
	// Clock dates the proofs that the copy is current. It must go on while the machine is suspended;
	// the default is boottime.Now.
	Clock func() time.Duration
	// Joined reports whether this daemon knows other daemons, or that there are none. Before, its rank
	// means nothing.
	Joined func() bool
	// Rank returns the rank of this daemon among the live daemons for the objects
	// under prefix, starting at 0. Two daemons with the same view of the live
	// daemons have different ranks.
	Rank func(prefix string) int
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.RetryWait, DefaultRetryWait)
	defaults.Set(&c.RetryMaxWait, DefaultRetryMaxWait)
	defaults.Set(&c.PullDelay, DefaultPullDelay)
	defaults.Set(&c.PullTimeout, DefaultPullTimeout)
	defaults.Set(&c.MinWatchInterval, DefaultMinWatchInterval)
	defaults.Set(&c.Watchers, DefaultWatchers)
	defaults.Set(&c.RelistAfter, DefaultRelistAfter)
	defaults.Set(&c.RelistLag, DefaultRelistLag)
	defaults.Set(&c.RelistStep, DefaultRelistStep)
	defaults.Set(&c.FirstListDelay, DefaultFirstListDelay)
	defaults.Set(&c.FirstListStep, DefaultFirstListStep)
	if c.Joined == nil {
		c.Joined = func() bool { return true }
	}
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	if c.Rank == nil {
		c.Rank = func(string) int { return 0 }
	}
	return c
}

type (
	// Change is a change of one undecoded object, identified by its name under
	// the prefix.
	Change  = replica.Change[[]byte]
	objects = replica.Table[[]byte]
	batch   = replica.Batch[[]byte]
)

// Cache is the local copy of the objects under one prefix. It is safe for concurrent
// use.
type Cache struct {
	config Config
	prefix string
	store  objectapi.Store
	dialer peer.Dialer
	logger log.Interface
	table  *objects

	mu      sync.Mutex
	newest  int64 // version of the newest change seen
	changed chan struct{}
	// cancelWatch cancels the pending watch when a change arrived from a peer first.
	cancelWatch context.CancelFunc
	pullRunning bool
	// listingNumber is the number of the newest known listing by any daemon,
	// listedAt the time at which it was requested, and listedHere whether this
	// daemon requested it.
	listingNumber int64
	listedAt      time.Time
	listedHere    bool
	// lastResponse is the time of the platform's last successful response,
	// unreachable is true since a call failed, and reachableSince is the end of
	// the last outage.
	lastResponse   time.Time
	unreachable    bool
	reachableSince time.Time

	// absentAt holds for each object, by name, the latest time at which its present version was proven not to
	// be in the platform yet, also for removed objects.
	absentAt map[string]absence

	// current is the time at which the copy is proven to have held all changes, 0 for none.
	current time.Duration

	fromPlatform *metrics.Counter
	fromPeers    *metrics.Counter
}

// New returns the cache of the objects under prefix, such as "routes/", and registers
// the method that serves changes to peers in mux.
func New(
	config Config, prefix string, store objectapi.Store, dialer peer.Dialer, mux peer.Mux, set *metrics.Set,
	logger log.Interface,
) *Cache {
	c := &Cache{
		config:       config.withDefaults(),
		prefix:       prefix,
		store:        store,
		dialer:       dialer,
		logger:       logger.WithField("feed", prefix),
		table:        replica.NewTable[[]byte](),
		changed:      make(chan struct{}),
		absentAt:     map[string]absence{},
		fromPlatform: set.GetOrCreateCounter(`ibisline_feed_changes_total{feed="` + prefix + `",from="platform"}`),
		fromPeers:    set.GetOrCreateCounter(`ibisline_feed_changes_total{feed="` + prefix + `",from="peer"}`),
	}
	mux.Handle(c.method(), c.serveChanges)
	return c
}

// Prefix returns the key prefix of the objects.
func (c *Cache) Prefix() string { return c.prefix }

// Run keeps the copy up to date until ctx is done.
func (c *Cache) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follow(ctx) })
	group.Go(func() error { return c.relist(ctx) })
	return group.Wait()
}

// Snapshot returns all objects, sorted by name. ok is false until the first listing
// by the platform or a peer has been loaded.
func (c *Cache) Snapshot() (held []Change, ok bool) {
	held, _, ok = c.table.Snapshot()
	return held, ok
}

// Changed returns a channel that is closed at the next change.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// NewestVersion returns the version of the newest change seen by this daemon, to be sent to
// peers; 0 before the first listing.
func (c *Cache) NewestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// Listing identifies a listing of the platform's objects by any daemon.
type Listing struct {
	// Number is the sequence number of the listing in the fleet; 0 means none.
	Number int64
	// Age is the time since the listing was requested.
	Age time.Duration
}

// Listing returns the newest known listing, to be sent to peers.
func (c *Cache) Listing() Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listingNumber == 0 {
		return Listing{}
	}
	return Listing{Number: c.listingNumber, Age: time.Since(c.listedAt)}
}

// Current returns the newest time of the cache's clock at which the copy, whose newest change has the
// returned version, is proven to have held all changes; 0 without a proof.
func (c *Cache) Current() (at time.Duration, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.newest
}

// Now returns the time of the clock that dates the proofs.
func (c *Cache) Now() time.Duration { return c.config.Clock() }

// ProveCurrent records that a copy whose newest change has a version held all changes at a time. This
// copy did then too, if it has that change.
func (c *Cache) ProveCurrent(at time.Duration, version int64) {
	loaded := c.isLoaded()
	c.mu.Lock()
	defer c.mu.Unlock()
	if loaded && version <= c.newest {
		c.current = max(c.current, at)
	}
}

// isLoaded reports whether a listing has been loaded.
func (c *Cache) isLoaded() bool {
	_, loaded := c.table.Revision()
	return loaded
}

// LastResponse returns the time of the platform's last successful response; zero if
// there was none.
func (c *Cache) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse
}

// SinceOutage returns the time since the end of the last platform outage seen by
// this daemon: 0 during an outage, and a very long time if there was none.
func (c *Cache) SinceOutage(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		return 0
	}
	return now.Sub(c.reachableSince)
}

// absence is a time before which a change of an object was not made.
type absence struct {
	at time.Time
	// removed is set if the change removed the object.
	removed bool
}

// absenceMemory is the time for which the absence of removed objects is remembered.
const absenceMemory = time.Minute

// NotBefore returns a time before which the last change of an object was not made: that of the newest listing
// without it, by any daemon. A watch may report a change late, so that the time at which it became known
// says nothing. It is zero if nothing is known.
func (c *Cache) NotBefore(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.absentAt[name].at
}

// publish records the accepted changes and notifies the waiters on Changed.
func (c *Cache) publish(accepted []Change, from string, counter *metrics.Counter) {
	if len(accepted) == 0 {
		return
	}
	counter.Add(len(accepted))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logChanges(accepted, from)
	for _, change := range accepted {
		c.newest = max(c.newest, change.Version)
		c.absentAt[change.Name] = absence{at: c.listedAt, removed: change.Value == nil}
	}
	maps.DeleteFunc(c.absentAt, func(_ string, a absence) bool { return a.removed && time.Since(a.at) > absenceMemory })
	close(c.changed)
	c.changed = make(chan struct{})
}

// logChanges logs each change, but the first listing as a single line. The caller
// must hold mu.
func (c *Cache) logChanges(accepted []Change, from string) {
	if c.newest == 0 {
		c.logger.WithField("objects", len(accepted)).WithField("from", from).Info("objects loaded")
		return
	}
	for _, change := range accepted {
		c.logger.WithField("object", change.Name).WithField("version", change.Version).
			WithField("removed", change.Value == nil).WithField("from", from).Info("object changed")
	}
}

// State is the diagnostic dump of a Cache.
type State struct {
	Prefix   string           `json:"prefix"`
	Revision int64            `json:"revision"`
	Loaded   bool             `json:"loaded"`
	Newest   int64            `json:"newest_change"`
	Answered time.Time        `json:"platform_answered"`
	Versions map[string]int64 `json:"versions"`
}

// Dump returns a State.
func (c *Cache) Dump() any {
	held, revision, loaded := c.table.Snapshot()
	versions := make(map[string]int64, len(held))
	for _, change := range held {
		versions[change.Name] = change.Version
	}
	return State{
		Prefix: c.prefix, Revision: revision, Loaded: loaded, Newest: c.NewestVersion(),
		Answered: c.LastResponse(), Versions: versions,
	}
}
