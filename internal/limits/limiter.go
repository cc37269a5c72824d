package limits

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/catalogue"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/queue"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// cleanupInterval is the interval at which a limiter drops dead homes and empty
// ledgers.
const cleanupInterval = 500 * time.Millisecond

const (
	// movedRetention is the time for which a former limiter keeps the name of its
	// successor.
	movedRetention = time.Minute
	// emptyRetention is the time for which an empty ledger is kept.
	emptyRetention = time.Minute
	// silentHolderFactor is the multiple of HolderTimeout without a report after
	// which a home is assumed to have restarted although a daemon of its name is
	// live. A restarted home that does not use the entry sends no reports.
	silentHolderFactor = 6
	// maxTakeOvers is the maximum number of concurrent ledger takeovers.
	maxTakeOvers = 256
)

// account is the limiter's state for one entry. It is guarded by limiter.mu.
type account struct {
	*ledger
	// grantsFrom is the time from which grants are safe. It is zero until the
	// predecessor was asked for its ledger.
	grantsFrom      time.Time
	handoverPending bool
	// superseded is set when another daemon has become the limiter. The ledger
	// must then be taken over again before anything is granted here.
	superseded bool
	lastUsed   time.Time
	// movedTo is the daemon that took over the ledger. It is kept until movedUntil.
	movedTo    string
	movedUntil time.Time
	timer      *time.Timer
}

// limiter grants permits for the entries assigned to this daemon.
type limiter struct {
	config  Config
	entries catalogue.Reader
	view    member.View
	dialer  peer.Dialer
	logger  log.Interface
	locator *locator
	// takeOvers queues the ledgers to request from their previous limiters.
	takeOvers *queue.Queue[takeOver]

	mu       sync.Mutex
	accounts map[string]*account
}

func newLimiter(
	config Config, entries catalogue.Reader, view member.View, dialer peer.Dialer,
	set *metrics.Set, logger log.Interface,
) *limiter {
	return &limiter{
		config:    config,
		entries:   entries,
		view:      view,
		dialer:    dialer,
		logger:    logger,
		locator:   newLocator(view, config.LeaseTTL+config.PeerTimeout),
		takeOvers: queue.New[takeOver](set, "limits_takeovers", maxTakeOvers),
		accounts:  map[string]*account{},
	}
}

// run takes over ledgers, and drops dead homes and empty ledgers, until ctx ends.
func (l *limiter) run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxTakeOvers)
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		changed := l.view.Changed()
		l.locator.recordDepartures(time.Now())
		l.cleanUp(time.Now())
		select {
		case <-ctx.Done():
			return calls.Wait()
		case t := <-l.takeOvers.Items():
			calls.Go(func() error {
				l.takeOver(ctx, t)
				return nil
			})
		case <-changed:
		case <-ticker.C:
		}
	}
}

// cleanUp reclaims the permits of dead homes, grants them to pending requests, marks
// the ledgers whose limiter is another daemon now, and deletes unused empty ledgers.
func (l *limiter) cleanUp(now time.Time) {
	self := l.view.Self().Name
	live := map[string]bool{}
	for _, instance := range l.view.Live() {
		live[instance.Name] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		a.dropHolders(func(h *holder) bool {
			silence := now.Sub(h.lastReport)
			if silence > l.config.HolderTimeout*silentHolderFactor {
				return true
			}
			return silence > l.config.HolderTimeout && !live[h.ID.Daemon]
		})
		if !live[a.movedTo] || now.After(a.movedUntil) {
			a.movedTo = ""
		}
		if current, ok := l.locator.limiterOf(name); ok && current != self {
			a.superseded = true
		}
		l.refreshLimits(name, a, now)
		l.grantPending(name, a, now)
		if a.empty() && a.movedTo == "" && !a.handoverPending && now.Sub(a.lastUsed) > emptyRetention {
			delete(l.accounts, name)
		}
	}
}

// account returns the state of an entry, creating it if needed. The caller holds mu.
func (l *limiter) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{ledger: newLedger()}
		l.accounts[name] = a
	}
	return a
}

// refreshLimits applies the limits of the entry in this daemon's catalogue. The
// caller holds mu.
func (l *limiter) refreshLimits(name string, a *account, now time.Time) {
	if entry, ok := l.entries.Entry(name); ok {
		a.setLimits(entry.Version, entry.Limits(), now)
	}
}

// grantPending grants pending requests as far as possible and, if some remain,
// schedules another attempt for the time of the next start token. The caller holds
// mu.
func (l *limiter) grantPending(name string, a *account, now time.Time) {
	if !l.canGrant(a, now) {
		return
	}
	a.distribute(now)
	wait := a.nextStartDelay(now)
	if len(a.pending) == 0 || wait == 0 {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.grantPending(name, a, time.Now())
	})
}

// canGrant reports whether permits may be granted now. The caller holds mu.
func (l *limiter) canGrant(a *account, now time.Time) bool {
	safe := !a.grantsFrom.IsZero() && !now.Before(a.grantsFrom)
	return safe && !a.superseded && a.movedTo == "" && l.entries.Admit() == nil
}

// lease records the report of a home and returns the reply, at once or, if the home
// asks for more than it has, when something was granted or PollTimeout has passed.
func (l *limiter) lease(ctx context.Context, r leaseRequest) (leaseReply, error) {
	if l.moved(r.Entry) {
		return leaseReply{Moved: true}, nil
	}
	a, pending, err := l.register(r)
	if err != nil {
		return leaseReply{}, err
	}
	if pending != nil {
		l.await(ctx, pending)
	}
	return l.answer(a, r, pending)
}

// moved reports whether another daemon is the limiter of an entry.
func (l *limiter) moved(entry string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[entry]; ok && a.movedTo != "" {
		return true
	}
	current, ok := l.locator.limiterOf(entry)
	return ok && current != l.view.Self().Name
}

// register records a report. It returns the pending request of the home, or nil if
// the home asks for nothing.
func (l *limiter) register(r leaseRequest) (*account, *pendingRequest, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(r.Entry)
	a.lastUsed = now
	a.setLimits(r.Version, r.Limits, now)
	l.refreshLimits(r.Entry, a, now)
	if !a.recordReport(r, now) {
		return nil, nil, verdict.Refuse(verdict.LimitReached, "report %d on entry %s is out of date", r.Seq, r.Entry)
	}
	l.ensureComplete(r.Entry, a, now)
	pending := pendingRequestOf(r, a.limits)
	if pending != nil {
		a.pending = append(a.pending, pending)
	}
	l.grantPending(r.Entry, a, now)
	if pending != nil && a.queueExceeded(r) {
		pending.finish()
	}
	return a, pending, nil
}

// pendingRequestOf returns a request for what a home needs beyond what it has, or
// nil if it needs nothing.
func pendingRequestOf(r leaseRequest, limits structs.EntryLimits) *pendingRequest {
	permits := max(0, r.Waiting-max(0, r.Holding-r.InUse))
	starts := 0
	if limits.RatePerSecond > 0 {
		starts = max(0, r.Waiting-r.Starts)
	}
	if permits == 0 && starts == 0 {
		return nil
	}
	return &pendingRequest{home: r.Home, seq: r.Seq, permits: permits, starts: starts, done: make(chan struct{})}
}

// await waits until the pending request is finished, but at most for PollTimeout.
func (l *limiter) await(ctx context.Context, pending *pendingRequest) {
	timer := time.NewTimer(l.config.PollTimeout)
	defer timer.Stop()
	select {
	case <-pending.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// answer cancels the pending request of a home and returns the reply to its report.
func (l *limiter) answer(a *account, r leaseRequest, pending *pendingRequest) (leaseReply, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := a.holders[r.Home]
	if !ok || h.Seq != r.Seq {
		return leaseReply{}, verdict.Refuse(verdict.LimitReached, "report %d on entry %s was replaced", r.Seq, r.Entry)
	}
	if a.movedTo != "" {
		return leaseReply{Moved: true}, nil
	}
	a.cancelPending(r.Home)
	reply := leaseReply{
		Version:    a.version,
		Allowed:    a.allowed(r.Home),
		Recall:     a.othersPending(r.Home),
		RetryAfter: a.nextStartDelay(now),
	}
	startable := reply.Allowed - r.InUse
	if pending != nil {
		reply.Starts = pending.grantedStarts
	}
	if a.limits.MaxConcurrent == 0 {
		startable = r.Waiting
	}
	if a.limits.RatePerSecond > 0 {
		startable = min(startable, r.Starts+reply.Starts)
	}
	reply.Queued = a.admitQueued(r.Home, max(0, r.Waiting-max(0, startable)))
	return reply, nil
}

// serveLease handles methodLease.
func (l *limiter) serveLease(ctx context.Context, s peer.Stream) error {
	var r leaseRequest
	if err := s.Recv(&r); err != nil {
		return err
	}
	reply, err := l.lease(ctx, r)
	if err != nil {
		return err
	}
	return s.Send(reply)
}

// LimiterState is the ledger of one entry as shown by Dump.
type LimiterState struct {
	Entry   string              `json:"entry"`
	Version int64               `json:"version"`
	Limits  structs.EntryLimits `json:"limits"`
	Held    map[string]int      `json:"held"`
	Open    int                 `json:"open_questions"`
	MovedTo string              `json:"moved_to,omitempty"`
}

// states returns the state of all ledgers, sorted by entry.
func (l *limiter) states() []LimiterState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := make([]LimiterState, 0, len(l.accounts))
	for name, a := range l.accounts {
		held := map[string]int{}
		for id, h := range a.holders {
			held[id.Daemon] += h.Held
		}
		states = append(states, LimiterState{
			Entry: name, Version: a.version, Limits: a.limits, Held: held, Open: len(a.pending), MovedTo: a.movedTo,
		})
	}
	slices.SortFunc(states, func(x, y LimiterState) int { return strings.Compare(x.Entry, y.Entry) })
	return states
}
