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
	"ibisline/internal/ring"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Defaults of Config.
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
	retryWait            = 100 * time.Millisecond
	retryMaxWait         = time.Second
	pushRingSize         = 256
)

// Config sets the pace of the catalogue. Zero fields take their default.
type Config struct {
	// StaleAfter is the time without proof of contact after which no work is
	// admitted.
	StaleAfter time.Duration
	// ProbeAfter is the age of the newest proof at which the platform is asked.
	ProbeAfter time.Duration
	// ExchangeEvery is the interval between exchanges with neighbours.
	ExchangeEvery time.Duration
	// ForgetAfter is the time after which a silent data centre without live
	// daemons is forgotten, provided that the platform is in reach.
	ForgetAfter time.Duration
	// PeerTimeout bounds one message to a peer.
	PeerTimeout time.Duration
	// ProbeTimeout bounds one probe of the platform.
	ProbeTimeout time.Duration
	// LoadTimeout bounds taking all entries from a peer.
	LoadTimeout time.Duration
	// ListLimit is the number of entries up to which the whole catalogue is
	// listed when no cheaper probe proves anything.
	ListLimit int
	// Fanout is the number of neighbours told of each change, and asked in
	// each exchange.
	Fanout int
	// Neighbours is the number of daemons to which this one talks.
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

// Catalogue is the daemon's copy of the catalogue. It implements Reader.
type Catalogue struct {
	config     Config
	store      objectapi.Store
	view       member.View
	dialer     peer.Dialer
	table      *table
	contact    *contact
	neighbours *neighbourhood
	pushes     *ring.Ring[batch]
	metrics    counters
	logger     log.Interface
	waiting    waiting
	tail       tail
	// loading is held while entries are taken from a peer.
	loading atomic.Bool
	started time.Time
}

var _ Reader = (*Catalogue)(nil)

// New returns an empty catalogue and registers its handlers in mux.
func New(config Config, store objectapi.Store, view member.View, dialer peer.Dialer, mux peer.Mux, set *metrics.Set, logger log.Interface) *Catalogue {
	config = config.withDefaults()
	c := &Catalogue{
		config:     config,
		store:      store,
		view:       view,
		dialer:     dialer,
		table:      newTable(),
		contact:    newContact(config.StaleAfter, config.ForgetAfter),
		neighbours: &neighbourhood{view: view, size: config.Neighbours},
		pushes:     ring.New[batch](set, "catalogue_push", pushRingSize),
		logger:     logger,
		started:    time.Now(),
	}
	c.metrics = newCounters(set, c)
	mux.Handle(MethodStatus, c.serveStatus)
	mux.Handle(methodExchange, c.serveExchange)
	mux.Handle(methodPush, c.servePush)
	mux.Handle(methodSnapshot, c.serveSnapshot)
	return c
}

// Run keeps the catalogue up to date until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.watch(ctx) })
	group.Go(func() error { return c.probe(ctx) })
	group.Go(func() error { return c.exchange(ctx) })
	group.Go(func() error { return c.push(ctx) })
	return group.Wait()
}

// Entry implements Reader.
func (c *Catalogue) Entry(name string) (structs.Entry, bool) {
	held, ok := c.table.Get(name)
	if !ok {
		return structs.Entry{}, false
	}
	return *held.Value, true
}

// Entries implements Reader.
func (c *Catalogue) Entries() []structs.Entry {
	held, _, _ := c.table.Snapshot()
	entries := make([]structs.Entry, len(held))
	for i, entry := range entriesOf(held) {
		entries[i] = *entry
	}
	return entries
}

// Revision implements Reader.
func (c *Catalogue) Revision() int64 {
	revision, _ := c.table.Position()
	return revision
}

// Generation counts the changes of the entries here. It rises with every change,
// also with one that is in force before the revision covers it.
func (c *Catalogue) Generation() int64 { return c.table.Generation() }

// Admit implements Reader.
func (c *Catalogue) Admit() error {
	revision, loaded := c.table.Position()
	if !loaded {
		return verdict.Refuse(verdict.CatalogueStale, "the catalogue is not loaded yet").RetryIn(c.config.StaleAfter)
	}
	if c.contact.current(time.Now(), revision) {
		return nil
	}
	c.metrics.refused.Inc()
	return verdict.Refuse(verdict.CatalogueStale, "no contact to the platform for over %s", c.config.StaleAfter).RetryIn(c.config.StaleAfter)
}

// Snapshot is the state shown by Dump.
type Snapshot struct {
	Revision int64 `json:"revision"`
	Loaded   bool  `json:"loaded"`
	Admits   bool  `json:"admits"`
	// ContactAgeMS is the age of the newest platform contact, -1 when none.
	ContactAgeMS int64            `json:"contact_age_ms"`
	Silent       []string         `json:"silent_data_centres,omitempty"`
	Neighbours   []string         `json:"neighbours,omitempty"`
	Entries      []SnapshotEntry  `json:"entries"`
	Unconfirmed  map[string]int64 `json:"deleted_beyond_revision,omitempty"`
}

// SnapshotEntry is an entry together with its version.
type SnapshotEntry struct {
	structs.Entry
	Version int64 `json:"version"`
}

// Dump returns a Snapshot.
func (c *Catalogue) Dump() any {
	held, revision, loaded := c.table.Snapshot()
	now := time.Now()
	age, _ := c.contact.ages(now)
	s := Snapshot{
		Revision:     revision,
		Loaded:       loaded,
		Admits:       loaded && c.contact.current(now, revision),
		ContactAgeMS: age.Milliseconds(),
		Silent:       c.contact.silentNow(now),
		Neighbours:   c.neighbours.all(),
		Entries:      make([]SnapshotEntry, 0, len(held)),
		Unconfirmed:  c.table.Unconfirmed(),
	}
	if age < 0 {
		s.ContactAgeMS = -1
	}
	for _, entry := range entriesOf(held) {
		s.Entries = append(s.Entries, SnapshotEntry{Entry: *entry, Version: entry.Version})
	}
	return s
}
