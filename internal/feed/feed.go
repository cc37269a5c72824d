// Package feed keeps a daemon's copy of the platform objects under one prefix. An
// older state never replaces a newer one.
//
// A few daemons of the fleet, the first by a hash, hold a watch. All daemons tell
// each other the version of the newest change that they have seen, and one that is
// behind takes the change from a peer. So a change costs a few calls to the platform
// however large the fleet is, and a daemon that the platform does not serve learns of
// it as well.
//
// A watch may be deaf. So the objects are also listed now and then, by whichever
// daemon first finds the last listing that it knows of too old; they tell each other
// the age of that, too.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/defaults"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/replica"
)

// Defaults of Config.
const (
	// DefaultRetryWait and DefaultRetryMaxWait bound the waits between calls
	// that fail. The longest still lets a daemon see a change within a second
	// of the platform's return.
	DefaultRetryWait    = 100 * time.Millisecond
	DefaultRetryMaxWait = 800 * time.Millisecond
	// DefaultPullAfter is how long a daemon that learns of a newer change waits
	// for its own watch before it asks the peer.
	DefaultPullAfter = 150 * time.Millisecond
	// DefaultPullTimeout bounds one question to a peer.
	DefaultPullTimeout = 500 * time.Millisecond
	// DefaultWatchers is the number of daemons that hold a watch: one more than
	// may fail or be turned away at the same time.
	DefaultWatchers = 3
	// DefaultVerifyAfter is the age of the last listing at which the first daemon
	// lists again. The others wait VerifyLag longer, in which a listing becomes
	// known to all, and VerifyStep for each place. So a change that the watches
	// miss is in force everywhere within 2.5 s, also when the platform turns the
	// first four daemons away.
	DefaultVerifyAfter = 1100 * time.Millisecond
	DefaultVerifyLag   = 500 * time.Millisecond
	DefaultVerifyStep  = 100 * time.Millisecond
	// DefaultCoalesce is the shortest time between two watches that brought
	// changes, so that a series of changes costs one call.
	DefaultCoalesce = 100 * time.Millisecond
)

// Config sets the pace of a feed. Zero fields take their default.
type Config struct {
	RetryWait    time.Duration
	RetryMaxWait time.Duration
	PullAfter    time.Duration
	PullTimeout  time.Duration
	Coalesce     time.Duration
	Watchers     int
	VerifyAfter  time.Duration
	VerifyLag    time.Duration
	VerifyStep   time.Duration
	// Rank returns the place of this daemon among the live ones for a feed, from
	// 0 on. The same rank does not fall to two daemons with the same view.
	Rank func(prefix string) int
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.RetryWait, DefaultRetryWait)
	defaults.Set(&c.RetryMaxWait, DefaultRetryMaxWait)
	defaults.Set(&c.PullAfter, DefaultPullAfter)
	defaults.Set(&c.PullTimeout, DefaultPullTimeout)
	defaults.Set(&c.Coalesce, DefaultCoalesce)
	defaults.Set(&c.Watchers, DefaultWatchers)
	defaults.Set(&c.VerifyAfter, DefaultVerifyAfter)
	defaults.Set(&c.VerifyLag, DefaultVerifyLag)
	defaults.Set(&c.VerifyStep, DefaultVerifyStep)
	if c.Rank == nil {
		c.Rank = func(string) int { return 0 }
	}
	return c
}

// Objects is the copy: undecoded objects by their name under the prefix.
type (
	Change  = replica.Change[[]byte]
	objects = replica.Table[[]byte]
	batch   = replica.Batch[[]byte]
)

// Feed follows the objects under one prefix. It is safe for concurrent use.
type Feed struct {
	config Config
	prefix string
	store  objectapi.Store
	dialer peer.Dialer
	logger log.Interface
	table  *objects

	mu      sync.Mutex
	newest  int64 // version of the newest change seen
	changed chan struct{}
	// rewatch ends a watch that waits, when a peer knew of a change first.
	rewatch context.CancelFunc
	pulling bool
	// listing is the number of the newest listing by any daemon known here,
	// verified the time at which it was asked for, and own whether it was asked for
	// here.
	listing  int64
	verified time.Time
	own      bool
	// answered is the last time at which the platform answered a call, lost is
	// set since it failed to, and regained is the end of the last outage.
	answered time.Time
	lost     bool
	regained time.Time

	fromPlatform *metrics.Counter
	fromPeers    *metrics.Counter
}

// New returns the feed of the objects under prefix, such as "routes/", and
// registers its method in mux.
func New(config Config, prefix string, store objectapi.Store, dialer peer.Dialer, mux peer.Mux, set *metrics.Set, logger log.Interface) *Feed {
	f := &Feed{
		config:       config.withDefaults(),
		prefix:       prefix,
		store:        store,
		dialer:       dialer,
		logger:       logger.WithField("feed", prefix),
		table:        replica.NewTable[[]byte](),
		changed:      make(chan struct{}),
		fromPlatform: set.GetOrCreateCounter(`ibisline_feed_changes_total{feed="` + prefix + `",from="platform"}`),
		fromPeers:    set.GetOrCreateCounter(`ibisline_feed_changes_total{feed="` + prefix + `",from="peer"}`),
	}
	mux.Handle(f.method(), f.serveSince)
	return f
}

// Prefix is that of the objects.
func (f *Feed) Prefix() string { return f.prefix }

// Run follows the platform until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx) })
	group.Go(func() error { return f.verify(ctx) })
	return group.Wait()
}

// Snapshot returns all objects, sorted by name. ok is false until the first
// listing, the platform's or a peer's.
func (f *Feed) Snapshot() (held []Change, ok bool) {
	held, _, ok = f.table.Snapshot()
	return held, ok
}

// Changed returns a channel that is closed at the next change.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Mark returns the version of the newest change seen here, for peers; 0 before
// the first listing.
func (f *Feed) Mark() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// Listing names a listing of the platform's objects by any daemon.
type Listing struct {
	// Number counts the listings of the fleet; 0 means none.
	Number int64
	// Age is the time since it was asked for.
	Age time.Duration
}

// Listing returns the newest listing known here, for peers.
func (f *Feed) Listing() Listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listing == 0 {
		return Listing{}
	}
	return Listing{Number: f.listing, Age: time.Since(f.verified)}
}

// isLoaded is true after the first listing.
func (f *Feed) isLoaded() bool {
	_, loaded := f.table.Revision()
	return loaded
}

// Answered returns the last time at which the platform answered; zero if never.
func (f *Feed) Answered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered
}

// SinceOutage returns the time since the end of the last outage of the platform as
// seen here: 0 during one, and a very long time before the first.
func (f *Feed) SinceOutage(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return 0
	}
	return now.Sub(f.regained)
}

// note records what was accepted and wakes those that wait for changes.
func (f *Feed) note(accepted []Change, from string, counter *metrics.Counter) {
	if len(accepted) == 0 {
		return
	}
	counter.Add(len(accepted))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log(accepted, from)
	for _, c := range accepted {
		f.newest = max(f.newest, c.Version)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// log reports changes, the first listing in one line. The caller holds mu.
func (f *Feed) log(accepted []Change, from string) {
	if f.newest == 0 {
		f.logger.WithField("objects", len(accepted)).WithField("from", from).Info("objects loaded")
		return
	}
	for _, c := range accepted {
		f.logger.WithField("object", c.Name).WithField("version", c.Version).
			WithField("removed", c.Value == nil).WithField("from", from).Info("object changed")
	}
}

// State is the dump of a feed.
type State struct {
	Prefix   string           `json:"prefix"`
	Revision int64            `json:"revision"`
	Loaded   bool             `json:"loaded"`
	Newest   int64            `json:"newest_change"`
	Answered time.Time        `json:"platform_answered"`
	Versions map[string]int64 `json:"versions"`
}

// Dump returns a State.
func (f *Feed) Dump() any {
	held, revision, loaded := f.table.Snapshot()
	versions := make(map[string]int64, len(held))
	for _, c := range held {
		versions[c.Name] = c.Version
	}
	return State{
		Prefix: f.prefix, Revision: revision, Loaded: loaded, Newest: f.Mark(), Answered: f.Answered(), Versions: versions,
	}
}
