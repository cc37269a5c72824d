package allowance

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/verdict"
)

// shard is a home's part of the programs. Its state is lost with the right to
// decide about it.
type shard struct {
	home   *Home
	number int

	// acquiring holds a token that is taken while the shard is acquired.
	acquiring chan struct{}
	flight    singleflight.Group
	// recordDue and bridgeDue wake the writers of record and bridge.
	recordDue chan struct{}
	bridgeDue chan struct{}

	mu     sync.Mutex
	held   bool
	fence  journal.Fence
	ledger *ledger.Ledger
	// changed is closed, and replaced, when a total was written down, when it
	// could not be, and when the shard is given up.
	changed chan struct{}
	// claiming is set while this daemon takes over what it has claimed.
	claiming bool
	// failures counts the times that neither record nor bridge could be written,
	// and unable is set while that is so.
	failures int
	unable   bool
	// stop ends the writers.
	stop context.CancelFunc

	record recordState
	idle   idleState
	bridge bridgeState
	// sequence counts the writes of record and bridge under the fence.
	sequence int64
	// fenced holds the journals that carry this home's fence, and wanted those
	// that the record is to name.
	fenced map[string]fencedJournal
	wanted journalSet

	// successor is the home that replaced this one, until asideUntil.
	successor  string
	asideUntil time.Time
	// highest is the highest fence seen.
	highest int64
	// blocked is the time since when too few journals can be reached.
	blocked time.Time
}

func newShard(h *Home, number int) *shard {
	s := &shard{
		home: h, number: number, changed: make(chan struct{}),
		acquiring: make(chan struct{}, 1), recordDue: make(chan struct{}, 1), bridgeDue: make(chan struct{}, 1),
	}
	s.acquiring <- struct{}{}
	s.reset()
	return s
}

func (s *shard) log() *log.Entry { return s.home.logger.WithField("shard", s.number) }

// reset forgets everything. The caller holds mu.
func (s *shard) reset() {
	if s.stop != nil {
		s.stop()
	}
	s.held = false
	s.unable = false
	s.ledger = ledger.New(0, 0)
	s.record = recordState{}
	s.idle = idleState{}
	s.bridge = bridgeState{}
	s.sequence = 0
	s.fenced = map[string]fencedJournal{}
	s.wanted = nil
	s.notify()
}

// notify wakes the reservations that wait. The caller holds mu.
func (s *shard) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *shard) holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// able reports whether this daemon holds the shard and can write what it decides, or is
// taking it over.
func (s *shard) able() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.held && !s.unable) || s.claiming
}

// holdsUnder reports whether the shard is still held under a fence. The caller holds
// mu.
func (s *shard) holdsUnder(fence journal.Fence) bool { return s.held && s.fence == fence }

// replacedBy returns the home that took the shard from this daemon a short time ago.
func (s *shard) replacedBy(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.asideUntil) {
		return ""
	}
	return s.successor
}

// standAside sends requests about the shard to another home for a while. The caller
// holds mu.
func (s *shard) standAside(home string) {
	if home != s.home.fleet.Self().Name {
		s.successor = home
		s.asideUntil = time.Now().Add(s.home.config.StandAside)
	}
}

// drop gives the shard up after another home has fenced it, if fence is still the
// one in force here.
func (s *shard) drop(fence journal.Fence, successor string, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highest = max(s.highest, number)
	if !s.holdsUnder(fence) {
		return
	}
	s.reset()
	s.standAside(successor)
	s.home.orphaned.Store(true)
	s.home.lost.Inc()
	s.log().WithField("fence", fence.Number).WithField("successor", successor).Info("budgets of a shard given up")
}

// signal wakes a writer.
func signal(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

// reserve decides about a reservation. If its total has to be written down, it decides
// ahead of that.
func (s *shard) reserve(ctx context.Context, r ledger.Reservation, skipped []string) (reserveReply, confirmation, error) {
	holder, err := s.ensureHeld(ctx, skipped)
	if err != nil || holder != "" {
		return reserveReply{Home: holder}, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held {
		return reserveReply{}, nil, s.notHome()
	}
	s.setRule()
	decision := s.ledger.Reserve(r, time.Now())
	if decision != ledger.NotDurable {
		reply, err := s.reply(r, decision, 0)
		return reply, nil, err
	}
	if s.unable {
		s.ledger.Release(r.Program, r.ID, 0)
		return reserveReply{}, nil, unwritten(errUnwritten)
	}
	fence, failures := s.fence, s.failures
	confirm := func(ctx context.Context) (reserveReply, error) { return s.confirm(ctx, r, fence, failures) }
	return reserveReply{Ahead: true}, confirm, nil
}

// confirm waits until the total of a held reservation is written down. Failures is the
// count when it was reserved.
func (s *shard) confirm(ctx context.Context, r ledger.Reservation, fence journal.Fence, failures int) (reserveReply, error) {
	started := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if !s.holdsUnder(fence) {
			return reserveReply{}, s.notHome()
		}
		s.setRule()
		if decision := s.ledger.Check(r); decision != ledger.NotDurable {
			return s.reply(r, decision, time.Since(started))
		}
		err := s.await(ctx)
		if err == nil && s.failures != failures {
			err = errUnwritten
		}
		if err != nil && s.holdsUnder(fence) {
			s.ledger.Release(r.Program, r.ID, 0)
		}
		if err != nil {
			return reserveReply{}, unwritten(err)
		}
	}
}

// await waits for the next change, which it asks for. The caller holds mu, which is
// free meanwhile.
func (s *shard) await(ctx context.Context) error {
	changed, fence := s.changed, s.fence
	s.mu.Unlock()
	defer s.mu.Lock()
	signal(s.recordDue)
	signal(s.bridgeDue)
	// The record is written at its own pace; only a longer wait is a sign of trouble.
	timer := time.NewTimer(s.home.config.RecordGap + s.home.config.BridgeAfter)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			s.recordIsLate(fence)
		}
	}
}

// reply answers a reservation. The caller holds mu.
func (s *shard) reply(r ledger.Reservation, decision ledger.Decision, waited time.Duration) (reserveReply, error) {
	entry := s.log().WithField("request", r.ID).WithField("program", r.Program).WithField("budget", r.Budget).
		WithField("tokens", r.Tokens).WithField("waited_ms", waited.Milliseconds())
	switch decision {
	case ledger.Granted:
		s.home.granted.Inc()
		entry.Debug("turn granted")
		return reserveReply{Granted: true}, nil
	case ledger.Spent:
		s.home.spent.Inc()
		entry.WithField("total", s.ledger.Total(r.Program)).Info("budget spent")
		return reserveReply{Spent: true}, nil
	default:
		return reserveReply{}, s.notHome()
	}
}

// notHome refuses a request that another daemon has to decide.
func (s *shard) notHome() error {
	return verdict.Refuse(verdict.NotHome, "another daemon decides about the budgets of shard %d", s.number)
}

// unwritten refuses a reservation whose total could not be written down.
func unwritten(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, verdict.PlatformDown, "the budget's record cannot be written")
}

// release ends a reservation.
func (s *shard) release(request releaseRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(request.Program, request.ID, request.Used)
}

// state is the dump.
func (s *shard) state() ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{
		Shard: s.number, Held: s.held, Fence: s.fence.Number, Version: s.record.version, Journals: s.record.journals,
		Bridge: s.bridge.on, Usages: s.ledger.Usages(),
	}
}
