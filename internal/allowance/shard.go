package allowance

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/verdict"
)

// shard is a home's part of the programs. Its state is lost with the right to
// decide about it.
type shard struct {
	home   *Home
	number int

	// acquiring is held while the journals are fenced.
	acquiring sync.Mutex

	mu     sync.Mutex
	held   bool
	fence  journal.Fence
	ledger *ledger.Ledger
	// journals holds what is known of the keepers' journals, and since the time
	// from which on this home decides.
	journals map[string]journalState
	since    time.Time
	// record is the shard's object at the platform.
	record recordWriter
	// successor is the home that replaced this one, until asideUntil.
	successor  string
	asideUntil time.Time
	highest    int64
}

// journalState is what a home knows of one journal.
type journalState struct {
	// fenced is set while the home may write there.
	fenced bool
	// born is the time since when the journal lacked nothing when it was read,
	// in Unix milliseconds; 0 for always.
	born int64
}

func newShard(h *Home, number int) *shard {
	s := &shard{home: h, number: number}
	s.reset()
	return s
}

// reset forgets everything. The caller holds mu.
func (s *shard) reset() {
	s.held = false
	s.ledger = ledger.New()
	s.journals = map[string]journalState{}
	for _, waiter := range s.record.waiters {
		waiter <- errReplaced
	}
	s.record = recordWriter{}
}

func (s *shard) holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// replacedBy returns the home that took the shard from this daemon a short time ago.
func (s *shard) replacedBy(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.asideUntil) {
		return ""
	}
	return s.successor
}

// drop gives the shard up after another home has fenced it, if fence is still the
// one in force here.
func (s *shard) drop(fence journal.Fence, successor string, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highest = max(s.highest, number)
	if !s.held || s.fence != fence {
		return
	}
	s.reset()
	if successor != s.home.fleet.Self().Name {
		s.successor = successor
		s.asideUntil = time.Now().Add(s.home.config.StandAside)
	}
	s.home.lost.Inc()
	s.home.logger.WithField("shard", s.number).WithField("fence", fence.Number).WithField("successor", successor).
		Info("budgets of a shard given up")
}

// reserve decides about a reservation and has it written down.
func (s *shard) reserve(ctx context.Context, r ledger.Reservation) (reserveReply, error) {
	if err := s.ensureHeld(ctx); err != nil {
		return reserveReply{}, err
	}
	now := time.Now()
	s.mu.Lock()
	if !s.held {
		s.mu.Unlock()
		return reserveReply{}, s.notHome()
	}
	fence := s.fence
	decision, total := s.ledger.Reserve(r, s.certain(r.Lifetime, now), now)
	cover := s.ledger.Cover(r.Program, total)
	s.mu.Unlock()

	switch decision {
	case ledger.Granted:
		s.home.granted.Inc()
		return reserveReply{Granted: true}, nil
	case ledger.Spent:
		s.home.spent.Inc()
		s.home.logger.WithField("request", r.ID).WithField("program", r.Program).WithField("budget", r.Budget).
			Info("budget spent")
		return reserveReply{Spent: true}, nil
	}
	err := s.cover(ctx, fence, decision, cover)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if s.fence == fence {
			s.ledger.Release(r.Program, r.ID, 0)
		}
		return reserveReply{}, err
	}
	if s.fence != fence || !s.held {
		return reserveReply{}, s.notHome()
	}
	s.ledger.Covered(r.Program, total)
	s.home.granted.Inc()
	return reserveReply{Granted: true}, nil
}

// cover writes a total down, in a journal if that is enough and one can be written.
func (s *shard) cover(ctx context.Context, fence journal.Fence, decision ledger.Decision, c ledger.Cover) error {
	if decision == ledger.Journal {
		err := s.append(ctx, fence, c)
		if err == nil || verdict.HasReason(err, verdict.NotHome) {
			return err
		}
		s.home.logger.WithError(err).WithField("shard", s.number).Warn("no journal takes a total, writing a record")
	}
	return s.writeRecord(ctx, fence, c)
}

// notHome refuses a request that another daemon has to decide.
func (s *shard) notHome() error {
	return verdict.Refuse(verdict.NotHome, "another daemon decides about the budgets of shard %d", s.number)
}

// release ends a reservation.
func (s *shard) release(request releaseRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(request.Program, request.ID, request.Used)
}

// upkeep forgets idle programs and fences journals that could not be before.
func (s *shard) upkeep(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	held := s.held
	s.ledger.Expire(now)
	s.mu.Unlock()
	if held {
		s.fenceMissing(ctx)
	}
}

// state is the dump.
func (s *shard) state(now time.Time) ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{
		Shard: s.number, Held: s.held, Fence: s.fence.Number, Certain: s.held && s.certain(time.Minute, now),
		Usages: s.ledger.Usages(),
	}
}
