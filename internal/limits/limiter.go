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

// reviewEvery is the interval at which limiters drop dead homes and empty books.
const reviewEvery = 500 * time.Millisecond

const (
	// movedFor is the time for which a former limiter knows its successor.
	movedFor = time.Minute
	// keptFor is the time for which empty books are kept.
	keptFor = time.Minute
	// lostAfter is the multiple of HoldFor after which a silent home is taken
	// to have been restarted, although a daemon of its name is live.
	lostAfter = 6
	// maxTakeOvers bounds the books that are taken over at once.
	maxTakeOvers = 256
)

// account is the limiter's state for one entry. It is guarded by limiter.mu.
type account struct {
	*ledger
	// learnedAt is the time from which grants are safe; zero until the books of
	// the predecessor were asked for.
	learnedAt time.Time
	asking    bool
	// lapsed is set once another daemon is the limiter: then the books have to
	// be learned anew before anything is granted here.
	lapsed bool
	used   time.Time
	// movedTo is the daemon that took the books over, until the time given.
	movedTo    string
	movedUntil time.Time
	timer      *time.Timer
}

// limiter grants permits for the entries whose limiter is this daemon.
type limiter struct {
	config  Config
	entries catalogue.Reader
	view    member.View
	dialer  peer.Dialer
	logger  log.Interface
	owners  *owners
	// takeOvers holds the entries whose predecessor has to be asked.
	takeOvers *queue.Queue[takeOver]

	mu       sync.Mutex
	accounts map[string]*account
}

func newLimiter(config Config, entries catalogue.Reader, view member.View, dialer peer.Dialer, set *metrics.Set, logger log.Interface) *limiter {
	return &limiter{
		config:    config,
		entries:   entries,
		view:      view,
		dialer:    dialer,
		logger:    logger,
		owners:    newOwners(view, config.LeaseTTL+config.PeerTimeout),
		takeOvers: queue.New[takeOver](set, "limits_takeovers", maxTakeOvers),
		accounts:  map[string]*account{},
	}
}

// run takes over books, and drops dead homes and empty books, until ctx ends.
func (l *limiter) run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxTakeOvers)
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		changed := l.view.Changed()
		l.owners.review(time.Now())
		l.review(time.Now())
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

// review drops what dead homes held, grants what that freed, and drops books
// that are empty or whose limiter is another daemon now.
func (l *limiter) review(now time.Time) {
	self := l.view.Self().Name
	live := map[string]bool{}
	for _, instance := range l.view.Live() {
		live[instance.Name] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		a.forget(func(h *holder) bool {
			silence := now.Sub(h.seen)
			if silence > l.config.HoldFor*lostAfter {
				return true
			}
			return silence > l.config.HoldFor && !live[h.ID.Daemon]
		})
		if !live[a.movedTo] || now.After(a.movedUntil) {
			a.movedTo = ""
		}
		if owner, ok := l.owners.owner(name); ok && owner != self {
			a.lapsed = true
		}
		l.refresh(name, a, now)
		l.settle(name, a, now)
		if a.idle() && a.movedTo == "" && !a.asking && now.Sub(a.used) > keptFor {
			delete(l.accounts, name)
		}
	}
}

// account returns the state of an entry. The caller holds mu.
func (l *limiter) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{ledger: newLedger()}
		l.accounts[name] = a
	}
	return a
}

// refresh takes the limits that are in force here. The caller holds mu.
func (l *limiter) refresh(name string, a *account, now time.Time) {
	if entry, ok := l.entries.Entry(name); ok {
		a.setLimits(entry.Version, entry.Limits(), now)
	}
}

// settle grants what can be granted and comes back when the next start right is
// due. The caller holds mu.
func (l *limiter) settle(name string, a *account, now time.Time) {
	if !l.grants(a, now) {
		return
	}
	a.distribute(now)
	wait := a.nextStart(now)
	if len(a.asks) == 0 || wait == 0 {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.settle(name, a, time.Now())
	})
}

// grants reports whether new permits may be granted now. The caller holds mu.
func (l *limiter) grants(a *account, now time.Time) bool {
	learned := !a.learnedAt.IsZero() && !now.Before(a.learnedAt)
	return learned && !a.lapsed && a.movedTo == "" && l.entries.Admit() == nil
}

// lease books a home's report and answers it, at once or when something was
// granted.
func (l *limiter) lease(ctx context.Context, r leaseRequest) (leaseReply, error) {
	if l.moved(r.Entry) {
		return leaseReply{Moved: true}, nil
	}
	a, question, err := l.open(r)
	if err != nil {
		return leaseReply{}, err
	}
	if question != nil {
		l.await(ctx, question)
	}
	return l.answer(a, r, question)
}

// moved reports whether another daemon is the limiter of an entry.
func (l *limiter) moved(entry string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[entry]; ok && a.movedTo != "" {
		return true
	}
	owner, ok := l.owners.owner(entry)
	return ok && owner != l.view.Self().Name
}

// open books the report. It returns the home's question when that has to wait.
func (l *limiter) open(r leaseRequest) (*account, *ask, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(r.Entry)
	a.used = now
	a.setLimits(r.Version, r.Limits, now)
	l.refresh(r.Entry, a, now)
	if !a.report(r, now) {
		return nil, nil, verdict.Refuse(verdict.LimitReached, "report %d on entry %s is out of date", r.Seq, r.Entry)
	}
	l.learn(r.Entry, a, now)
	question := questionOf(r, a.limits)
	if question != nil {
		a.asks = append(a.asks, question)
	}
	l.settle(r.Entry, a, now)
	if question != nil && a.queueExceeded(r) {
		question.finish()
	}
	return a, question, nil
}

// questionOf returns what a home wants beyond what it has, or nil.
func questionOf(r leaseRequest, limits structs.EntryLimits) *ask {
	permits := max(0, r.Waiting-max(0, r.Holding-r.InUse))
	starts := 0
	if limits.RatePerSecond > 0 {
		starts = max(0, r.Waiting-r.Starts)
	}
	if permits == 0 && starts == 0 {
		return nil
	}
	return &ask{home: r.Home, seq: r.Seq, permits: permits, starts: starts, done: make(chan struct{})}
}

// await waits until a question is answered, or for at most PollFor.
func (l *limiter) await(ctx context.Context, question *ask) {
	timer := time.NewTimer(l.config.PollFor)
	defer timer.Stop()
	select {
	case <-question.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// answer closes a home's question and returns its reply.
func (l *limiter) answer(a *account, r leaseRequest, question *ask) (leaseReply, error) {
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
	a.withdraw(r.Home)
	reply := leaseReply{
		Version:    a.version,
		Allowed:    a.allowed(r.Home),
		Recall:     a.othersWait(r.Home),
		RetryAfter: a.nextStart(now),
	}
	startable := reply.Allowed - r.InUse
	if question != nil {
		reply.Starts = question.gotStarts
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

// serveLease answers methodLease.
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

// LimiterState shows the books of one entry.
type LimiterState struct {
	Entry   string              `json:"entry"`
	Version int64               `json:"version"`
	Limits  structs.EntryLimits `json:"limits"`
	Held    map[string]int      `json:"held"`
	Open    int                 `json:"open_questions"`
	MovedTo string              `json:"moved_to,omitempty"`
}

// states returns the books, sorted by entry.
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
			Entry: name, Version: a.version, Limits: a.limits, Held: held, Open: len(a.asks), MovedTo: a.movedTo,
		})
	}
	slices.SortFunc(states, func(x, y LimiterState) int { return strings.Compare(x.Entry, y.Entry) })
	return states
}
