package catalogue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/defaults"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/queue"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Defaults of Config, and fixed limits.
const (
	DefaultStaleAfter    = 3 * time.Second
	DefaultProbeAfter    = time.Second
	DefaultExchangeEvery = 500 * time.Millisecond
	DefaultForgetAfter   = time.Minute
	DefaultFanout        = 3
	DefaultNeighbours    = 8
	DefaultPeerTimeout   = time.Second
	DefaultProbeTimeout  = time.Second
	DefaultLoadTimeout   = 20 * time.Second
	DefaultListLimit     = 1000
	minRetryDelay        = 100 * time.Millisecond
	maxRetryDelay        = time.Second
	pushQueueSize        = 256
)

// Config sets the intervals, timeouts and limits of a catalogue. Zero fields take
// their defaults.
type Config struct {
	// StaleAfter is the maximum age of a proof of contact with which work is
	// admitted.
	StaleAfter time.Duration
	// ProbeAfter is the age of the newest proof at which the platform is probed.
	ProbeAfter time.Duration
	// ExchangeEvery is the interval between exchanges with neighbours.
	ExchangeEvery time.Duration
	// ForgetAfter is the time without contact after which a data centre without
	// live daemons is forgotten, provided that the platform is reachable.
	ForgetAfter time.Duration
	// PeerTimeout limits one call to a peer.
	PeerTimeout time.Duration
	// ProbeTimeout limits one probe of the platform.
	ProbeTimeout time.Duration
	// LoadTimeout limits loading all entries from a peer.
	LoadTimeout time.Duration
	// ListLimit is the maximum number of entries with which the whole catalogue is
	// listed if no cheaper probe is conclusive.
	ListLimit int
	// Fanout is the number of neighbours to which each batch is pushed, and the
	// number of neighbours queried per exchange.
	Fanout int
	// Neighbours is the number of daemons selected as neighbours.
	Neighbours int
}

// withDefaults returns c with its zero fields filled in.
func (c Config) withDefaults() Config {
	defaults.Set(&c.StaleAfter, DefaultStaleAfter)
	defaults.Set(&c.ProbeAfter, DefaultProbeAfter)
	defaults.Set(&c.ExchangeEvery, DefaultExchangeEvery)
	defaults.Set(&c.ForgetAfter, DefaultForgetAfter)
	defaults.Set(&c.PeerTimeout, DefaultPeerTimeout)
	defaults.Set(&c.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&c.LoadTimeout, DefaultLoadTimeout)
	defaults.Set(&c.ListLimit, DefaultListLimit)
	defaults.Set(&c.Fanout, DefaultFanout)
	defaults.Set(&c.Neighbours, DefaultNeighbours)
	return c
}

// Catalogue is a daemon's replica of the catalogue entries. It implements Reader and
// is safe for concurrent use.
type Catalogue struct {
	config       Config
	store        objectapi.Store
	view         member.View
	dialer       peer.Dialer
	table        *table
	contact      *contact
	neighbours   *neighbourSet
	pushes       *queue.Queue[batch]
	metrics      counters
	logger       log.Interface
	pendingWatch pendingWatch
	newestEvent  newestEvent
	// loading is true while entries are loaded from a peer.
	loading   atomic.Bool
	startedAt time.Time
}

var _ Reader = (*Catalogue)(nil)

// New returns an empty catalogue. It registers its handlers in mux and its metrics in
// set.
func New(
	config Config, store objectapi.Store, view member.View, dialer peer.Dialer, mux peer.Mux, set *metrics.Set,
	logger log.Interface,
) *Catalogue {
	config = config.withDefaults()
	c := &Catalogue{
		config:     config,
		store:      store,
		view:       view,
		dialer:     dialer,
		table:      newTable(),
		contact:    newContact(config.StaleAfter, config.ForgetAfter),
		neighbours: &neighbourSet{view: view, size: config.Neighbours},
		pushes:     queue.New[batch](set, "catalogue_push", pushQueueSize),
		logger:     logger,
		startedAt:  time.Now(),
	}
	c.metrics = newCounters(set, c)
	mux.Handle(MethodStatus, c.serveStatus)
	mux.Handle(methodExchange, c.serveExchange)
	mux.Handle(methodPush, c.servePush)
	mux.Handle(methodSnapshot, c.serveSnapshot)
	return c
}

// Run replicates the catalogue until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runWatch(ctx) })
	group.Go(func() error { return c.runProbes(ctx) })
	group.Go(func() error { return c.runExchanges(ctx) })
	group.Go(func() error { return c.runPushes(ctx) })
	return group.Wait()
}

// Entry returns the entry with the given name, including retired entries.
func (c *Catalogue) Entry(name string) (structs.Entry, bool) {
	held, ok := c.table.Get(name)
	if !ok {
		return structs.Entry{}, false
	}
	return *held.Value, true
}

// Entries returns all entries, sorted by name.
func (c *Catalogue) Entries() []structs.Entry {
	held, _, _ := c.table.Snapshot()
	entries := make([]structs.Entry, len(held))
	for i, entry := range entriesOf(held) {
		entries[i] = *entry
	}
	return entries
}

// Revision returns the platform revision up to which all edits are applied.
func (c *Catalogue) Revision() int64 {
	revision, _ := c.table.Revision()
	return revision
}

// Generation returns a counter that increases with every change of an entry,
// including changes applied before the revision covers them.
func (c *Catalogue) Generation() int64 { return c.table.Generation() }

// Admit returns nil if new work may be admitted, and otherwise a refusal with reason
// CatalogueStale.
func (c *Catalogue) Admit() error {
	revision, loaded := c.table.Revision()
	if !loaded {
		return verdict.Refuse(verdict.CatalogueStale, "the catalogue is not loaded yet").RetryIn(c.config.StaleAfter)
	}
	if c.contact.upToDate(time.Now(), revision) {
		return nil
	}
	c.metrics.refused.Inc()
	return verdict.Refuse(verdict.CatalogueStale, "no contact to the platform for over %s", c.config.StaleAfter).
		RetryIn(c.config.StaleAfter)
}

// Snapshot is the result of Dump.
type Snapshot struct {
	Revision int64 `json:"revision"`
	Loaded   bool  `json:"loaded"`
	Admits   bool  `json:"admits"`
	// ContactAgeMS is the age of the newest platform contact in milliseconds, -1 if
	// there was none.
	ContactAgeMS int64            `json:"contact_age_ms"`
	Silent       []string         `json:"silent_data_centres,omitempty"`
	Neighbours   []string         `json:"neighbours,omitempty"`
	Entries      []SnapshotEntry  `json:"entries"`
	Unconfirmed  map[string]int64 `json:"deleted_beyond_revision,omitempty"`
}

// SnapshotEntry is an entry with its platform version.
type SnapshotEntry struct {
	structs.Entry
	Version int64 `json:"version"`
}

// Dump returns the state of the catalogue as a Snapshot.
func (c *Catalogue) Dump() any {
	held, revision, loaded := c.table.Snapshot()
	now := time.Now()
	age, _ := c.contact.ages(now)
	s := Snapshot{
		Revision:     revision,
		Loaded:       loaded,
		Admits:       loaded && c.contact.upToDate(now, revision),
		ContactAgeMS: age.Milliseconds(),
		Silent:       c.contact.silentDataCentres(now),
		Neighbours:   c.neighbours.all(),
		Entries:      make([]SnapshotEntry, 0, len(held)),
		Unconfirmed:  c.table.UnconfirmedDeletions(),
	}
	if age < 0 {
		s.ContactAgeMS = -1
	}
	for _, entry := range entriesOf(held) {
		s.Entries = append(s.Entries, SnapshotEntry{Entry: *entry, Version: entry.Version})
	}
	return s
}
