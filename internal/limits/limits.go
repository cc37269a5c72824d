// Package limits holds the fleet-wide limits of catalogue entries: requests under
// way, requests started a second and requests waiting.
//
// Each limited entry has one limiter: the daemon that rendezvous hash picks from
// all live ones. Homes borrow permits from it in small numbers, keep them for
// reuse while requests follow each other, and return idle ones.
//
// What keeps the limit:
//   - The limiter books for each home an upper bound of what the home may have
//     under way. A home lowers its own number before it reports it, and raises it
//     only by a reply, so that a lost message leaves the books too high, never
//     too low.
//   - A home starts requests only under a lease that it renews, and of a version
//     of the entry that is not older than its catalogue. A lowered limit shrinks
//     the leases at the next renewal; requests under way are not interrupted.
//   - A new limiter takes over the books of the daemon that it replaces. When it
//     cannot, it lets the homes report what they hold, and grants nothing new
//     until the leases of its predecessor have ended.
//   - A daemon whose catalogue may be stale grants nothing.
//
// Not covered: a home that is cut off from the new limiter just when the old one
// died. What it has under way comes on top of the limit until it ends; it starts
// nothing more once its lease has ended.
//
// An entry without limits costs nothing: no message and no state.
package limits

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/catalogue"
	"ibisline/internal/defaults"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/ring"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Defaults of Config.
const (
	DefaultLeaseTTL    = 2 * time.Second
	DefaultRenewEvery  = 500 * time.Millisecond
	DefaultPollFor     = 400 * time.Millisecond
	DefaultIdleReturn  = 200 * time.Millisecond
	DefaultHoldFor     = 5 * time.Second
	DefaultPeerTimeout = time.Second
	// mergeWait is the time for which new waiting requests are gathered while
	// a question to the limiter is under way.
	mergeWait = 10 * time.Millisecond
	// retryWait is the pause after a question that failed.
	retryWait = 100 * time.Millisecond
	// newBorrowers bounds the entries that become active at the same moment.
	newBorrowers = 1024
)

// Config sets the pace of the limits. Zero fields take their default.
type Config struct {
	// LeaseTTL is the time after asking for which a home may start requests on
	// the permits that it was granted.
	LeaseTTL time.Duration
	// RenewEvery is the interval between reports of a home that holds permits.
	RenewEvery time.Duration
	// PollFor bounds the time for which a limiter keeps a question waiting.
	PollFor time.Duration
	// IdleReturn is the time after which a home returns an unused permit.
	IdleReturn time.Duration
	// HoldFor is the time since its last report after which the permits of a
	// daemon that is not live are dropped.
	HoldFor time.Duration
	// PeerTimeout bounds a message to a peer, beyond PollFor.
	PeerTimeout time.Duration
}

// withDefaults returns c with its zero fields filled in.
func (c Config) withDefaults() Config {
	defaults.Set(&c.LeaseTTL, DefaultLeaseTTL)
	defaults.Set(&c.RenewEvery, DefaultRenewEvery)
	defaults.Set(&c.PollFor, DefaultPollFor)
	defaults.Set(&c.IdleReturn, DefaultIdleReturn)
	defaults.Set(&c.HoldFor, DefaultHoldFor)
	defaults.Set(&c.PeerTimeout, DefaultPeerTimeout)
	return c
}

// Limits is a daemon's part in holding the limits: the home's side for entries in
// use here, and the limiter's side for entries whose limiter is here.
type Limits struct {
	config      Config
	entries     catalogue.Reader
	view        member.View
	dialer      peer.Dialer
	logger      log.Interface
	incarnation string
	limiter     *limiter
	starts      *ring.Ring[*borrower]
	refused     *metrics.Counter
	asked       *metrics.Counter

	mu        sync.Mutex
	borrowers map[string]*borrower
	stopped   bool
}

// New returns the limits of a daemon and registers their handlers in mux.
func New(config Config, entries catalogue.Reader, view member.View, dialer peer.Dialer, mux peer.Mux, set *metrics.Set, logger log.Interface) *Limits {
	config = config.withDefaults()
	l := &Limits{
		config:      config,
		entries:     entries,
		view:        view,
		dialer:      dialer,
		logger:      logger,
		incarnation: uuid.NewString(),
		limiter:     newLimiter(config, entries, view, dialer, set, logger),
		starts:      ring.New[*borrower](set, "limits_borrowers", newBorrowers),
		refused:     set.GetOrCreateCounter("ibisline_limits_refused_total"),
		asked:       set.GetOrCreateCounter("ibisline_limits_asked_total"),
		borrowers:   map[string]*borrower{},
	}
	set.GetOrCreateGauge("ibisline_limits_borrowing_entries", func() float64 { return float64(l.active()) })
	mux.Handle(methodLease, l.limiter.serveLease)
	mux.Handle(methodHandover, l.limiter.serveHandover)
	return l
}

// Run keeps the leases of the entries in use until ctx ends.
func (l *Limits) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.limiter.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return group.Wait()
		case b := <-l.starts.Items():
			group.Go(func() error { return b.run(ctx) })
		}
	}
}

// Acquire waits until a request of an entry may start under the entry's limits,
// at the latest until deadline. The caller calls release once when the request
// has ended. Errors are *verdict.Error with verdict NotRun and reason QueueFull,
// LimitReached, DeadlinePassed or Canceled.
func (l *Limits) Acquire(ctx context.Context, entry structs.Entry, deadline time.Time) (release func(), err error) {
	if unlimited(entry) {
		return func() {}, nil
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return nil, verdict.Refuse(verdict.DeadlinePassed, "deadline of the request passed before it could start")
	}
	release, err = l.acquire(ctx, entry, deadline)
	if err != nil {
		l.refused.Inc()
	}
	return release, err
}

// unlimited reports whether nothing bounds the start of the entry's requests.
func unlimited(entry structs.Entry) bool {
	return entry.MaxConcurrent == 0 && entry.RatePerSecond == 0
}

// acquire queues the request at the entry's borrower.
func (l *Limits) acquire(ctx context.Context, entry structs.Entry, deadline time.Time) (func(), error) {
	for {
		b, err := l.borrower(entry)
		if err != nil {
			return nil, err
		}
		w, err := b.enqueue(entry)
		if err != nil {
			return nil, err
		}
		if w != nil {
			return b.wait(ctx, w, deadline)
		}
	}
}

// borrower returns the borrower of an entry, and starts one when there is none.
func (l *Limits) borrower(entry structs.Entry) (*borrower, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil, verdict.Refuse(verdict.Stopping, "the daemon stops")
	}
	if b, ok := l.borrowers[entry.Name]; ok {
		return b, nil
	}
	b := newBorrower(l, entry)
	if !l.starts.Offer(b) {
		return nil, verdict.Refuse(verdict.LimitReached, "too many entries became active at once").RetryIn(l.config.RenewEvery)
	}
	l.borrowers[entry.Name] = b
	return b, nil
}

// stop refuses what waits and all later requests.
func (l *Limits) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, b := range l.borrowers {
		b.end(verdict.Refuse(verdict.Stopping, "the daemon stops"))
	}
}

// drop removes a borrower that ended.
func (l *Limits) drop(b *borrower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.borrowers[b.name] == b {
		delete(l.borrowers, b.name)
	}
}

// active returns the number of entries with a borrower.
func (l *Limits) active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.borrowers)
}

// Snapshot is the state shown by Dump.
type Snapshot struct {
	Borrowed []BorrowedState `json:"borrowed"`
	Limiting []LimiterState  `json:"limiting"`
}

// Dump returns a Snapshot.
func (l *Limits) Dump() any {
	l.mu.Lock()
	borrowers := make([]*borrower, 0, len(l.borrowers))
	for _, b := range l.borrowers {
		borrowers = append(borrowers, b)
	}
	l.mu.Unlock()
	s := Snapshot{Limiting: l.limiter.states()}
	for _, b := range borrowers {
		s.Borrowed = append(s.Borrowed, b.state())
	}
	return s
}
