// Package limits enforces the fleet-wide limits of catalogue entries: concurrent
// requests, request starts per second and waiting requests.
//
// Each limited entry has one limiter: the daemon selected by rendezvous hashing
// among all live daemons. A home is a daemon at which requests of the entry start.
// Homes borrow permits from the limiter in small numbers, reuse them for requests
// that follow shortly, and return idle ones.
//
// The limit is enforced as follows:
//   - The limiter's ledger holds, for each home, an upper bound of its requests in
//     flight. A home lowers its own number before reporting it, and raises it only
//     on a reply, so that after a lost message the ledger is too high, never too
//     low.
//   - A home starts requests only under a lease that it renews, and only if the
//     lease was granted for a version of the entry that is not older than the one
//     in its catalogue. A lowered limit shrinks the leases at the next renewal;
//     requests in flight are not interrupted.
//   - A new limiter takes over the ledger of the daemon that it replaces. If it
//     cannot, it rebuilds the ledger from the reports of the homes, and grants
//     nothing until the leases of its predecessor have expired.
//   - A daemon whose catalogue may be stale grants nothing.
//
// Not covered: a home that is partitioned from the new limiter at the moment when
// the old one dies. Its requests in flight exceed the limit until they end. It
// starts no further requests after its lease has expired.
//
// An entry without limits needs no messages and no state.
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
	"ibisline/internal/queue"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Defaults of Config.
const (
	DefaultLeaseTTL        = 2 * time.Second
	DefaultRenewInterval   = 500 * time.Millisecond
	DefaultPollTimeout     = 400 * time.Millisecond
	DefaultIdleReturnDelay = 200 * time.Millisecond
	DefaultHolderTimeout   = 5 * time.Second
	DefaultPeerTimeout     = time.Second
	// mergeDelay is the time for which new waiting requests are batched while a
	// report to the limiter is in flight.
	mergeDelay = 10 * time.Millisecond
	// retryDelay is the delay after a failed report.
	retryDelay = 100 * time.Millisecond
	// maxNewBorrowers is the maximum number of borrowers waiting to be started.
	maxNewBorrowers = 1024
)

// Config holds the intervals and timeouts of the limits. Zero fields take their
// default.
type Config struct {
	// LeaseTTL is the time for which a home may start requests with its permits,
	// measured from the moment at which it sent the report.
	LeaseTTL time.Duration
	// RenewInterval is the interval between the reports of a home that holds
	// permits.
	RenewInterval time.Duration
	// PollTimeout is the maximum time for which a limiter delays the reply to a
	// report that asks for permits.
	PollTimeout time.Duration
	// IdleReturnDelay is the idle time after which a home returns a permit.
	IdleReturnDelay time.Duration
	// HolderTimeout is the time after the last report of a daemon that is not live
	// until its permits are reclaimed.
	HolderTimeout time.Duration
	// PeerTimeout is the timeout of a call to a peer, in addition to PollTimeout.
	PeerTimeout time.Duration
}

// withDefaults returns c with zero fields replaced by their defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.LeaseTTL, DefaultLeaseTTL)
	defaults.Set(&c.RenewInterval, DefaultRenewInterval)
	defaults.Set(&c.PollTimeout, DefaultPollTimeout)
	defaults.Set(&c.IdleReturnDelay, DefaultIdleReturnDelay)
	defaults.Set(&c.HolderTimeout, DefaultHolderTimeout)
	defaults.Set(&c.PeerTimeout, DefaultPeerTimeout)
	return c
}

// Limits enforces the limits on one daemon: as the home of entries in use here and
// as the limiter of the entries assigned to this daemon.
type Limits struct {
	config       Config
	entries      catalogue.Reader
	view         member.View
	dialer       peer.Dialer
	logger       log.Interface
	incarnation  string
	limiter      *limiter
	newBorrowers *queue.Queue[*borrower]
	refused      *metrics.Counter
	reportsSent  *metrics.Counter

	mu        sync.Mutex
	borrowers map[string]*borrower
	stopped   bool
}

// New returns the Limits of a daemon and registers its peer methods with mux.
func New(
	config Config, entries catalogue.Reader, view member.View, dialer peer.Dialer, mux peer.Mux,
	set *metrics.Set, logger log.Interface,
) *Limits {
	config = config.withDefaults()
	l := &Limits{
		config:       config,
		entries:      entries,
		view:         view,
		dialer:       dialer,
		logger:       logger,
		incarnation:  uuid.NewString(),
		limiter:      newLimiter(config, entries, view, dialer, set, logger),
		newBorrowers: queue.New[*borrower](set, "limits_borrowers", maxNewBorrowers),
		refused:      set.GetOrCreateCounter("ibisline_limits_refused_total"),
		reportsSent:  set.GetOrCreateCounter("ibisline_limits_asked_total"),
		borrowers:    map[string]*borrower{},
	}
	set.GetOrCreateGauge("ibisline_limits_borrowing_entries", func() float64 { return float64(l.active()) })
	mux.Handle(methodLease, l.limiter.serveLease)
	mux.Handle(methodHandover, l.limiter.serveHandover)
	return l
}

// Run renews the leases of the entries in use, and serves as limiter, until ctx
// ends.
func (l *Limits) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.limiter.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return group.Wait()
		case b := <-l.newBorrowers.Items():
			group.Go(func() error { return b.run(ctx) })
		}
	}
}

// Acquire waits until a request of an entry may start under the entry's limits, but
// not beyond deadline; a zero deadline means no deadline. The caller must call
// release when the request has ended. Errors are *verdict.Error with verdict NotRun
// and reason QueueFull, LimitReached, DeadlinePassed, Canceled or Stopping.
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

// unlimited reports whether the entry has neither a concurrency nor a rate limit.
func unlimited(entry structs.Entry) bool {
	return entry.MaxConcurrent == 0 && entry.RatePerSecond == 0
}

// acquire queues the request at the entry's borrower and waits for its start.
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

// borrower returns the borrower of an entry, starting one if there is none.
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
	if !l.newBorrowers.Offer(b) {
		return nil, verdict.Refuse(verdict.LimitReached, "too many entries became active at once").
			RetryIn(l.config.RenewInterval)
	}
	l.borrowers[entry.Name] = b
	return b, nil
}

// stop refuses all waiting and later requests.
func (l *Limits) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, b := range l.borrowers {
		b.refuseAll(verdict.Refuse(verdict.Stopping, "the daemon stops"))
	}
}

// drop removes a borrower that has ended.
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

// Snapshot is the state returned by Dump.
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
