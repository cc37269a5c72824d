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

	// acquiring holds a token that is taken while the journals are fenced.
	acquiring chan struct{}

	mu     sync.Mutex
	held   bool
	fence  journal.Fence
	ledger *ledger.Ledger
	// journals holds what is known of the keepers' journals, and since the time
	// from which on this home decides.
	journals map[string]journalState
	since    time.Time
	// before is the highest fence of former homes, complete is set once all that
	// they granted is known here.
	before   int64
	complete bool
	// basis holds the journals in use, with the time since when each lacks
	// nothing; nil while all that are fenced may be used. basisWritten is set
	// once the record names them.
	basis        map[string]int64
	basisWritten bool
	// moves counts the times that basis was chosen anew, and known holds the
	// keepers that were known when this home took the shard.
	moves int
	known map[string]bool
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
	// born is the time since when the journal lacked nothing when it was first
	// read, in Unix milliseconds, 0 for always; began is the same as of now.
	born  int64
	began int64
	// incarnation is the keeper's start at which it was fenced.
	incarnation uint64
	// lost is set when the journal has lost what this home wrote to it.
	lost bool
}

func newShard(h *Home, number int) *shard {
	s := &shard{home: h, number: number, acquiring: make(chan struct{}, 1)}
	s.acquiring <- struct{}{}
	s.reset()
	return s
}

// reset forgets everything. The caller holds mu.
func (s *shard) reset() {
	s.held = false
	s.ledger = ledger.New()
	s.journals = map[string]journalState{}
	s.before = 0
	s.complete = false
	s.basis = nil
	s.basisWritten = false
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
	if holder, err := s.ensureHeld(ctx); err != nil || holder != "" {
		return reserveReply{Home: holder}, err
	}
	fence, decision, c, err := s.decide(r)
	if err != nil {
		return reserveReply{}, err
	}
	if decision == ledger.Record && !s.recordLoaded(fence) {
		// What earlier homes recorded counts before anything more is granted.
		if err := s.readRecord(ctx, fence, r); err != nil {
			return reserveReply{}, err
		}
		if fence, decision, c, err = s.decide(r); err != nil {
			return reserveReply{}, err
		}
	}
	switch decision {
	case ledger.Granted:
		s.logGrant(r, c, decision)
		return reserveReply{Granted: true}, nil
	case ledger.Spent:
		s.refresh(ctx, fence, c)
		return s.refuse(r), nil
	}
	for {
		moves := s.movesSoFar()
		if err := s.cover(ctx, fence, decision, c); err != nil {
			s.withdraw(fence, r)
			return reserveReply{}, err
		}
		if reply, final, err := s.confirm(fence, r, c, moves); final {
			if reply.Granted {
				s.logGrant(r, c, decision)
			}
			return reply, err
		}
	}
}

// movesSoFar tells how often other journals were taken into use.
func (s *shard) movesSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moves
}

// decide asks the ledger, under the fence in force.
func (s *shard) decide(r ledger.Reservation) (journal.Fence, ledger.Decision, ledger.Cover, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held {
		return journal.Fence{}, 0, ledger.Cover{}, s.notHome()
	}
	decision, total := s.ledger.Reserve(r, s.isComplete(now), now)
	return s.fence, decision, s.ledger.Cover(r, total, now), nil
}

// refresh writes the total of a program down again before it would be forgotten.
// What cannot be written now is tried at the program's next request.
func (s *shard) refresh(ctx context.Context, fence journal.Fence, c ledger.Cover) {
	if c.Total == 0 {
		return
	}
	if err := s.cover(ctx, fence, ledger.Record, c); err != nil {
		s.home.logger.WithError(err).WithField("program", c.Program).Info("spent budget not written down again")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held && s.fence == fence {
		s.ledger.Refreshed(c.Program, c.Total, time.UnixMilli(c.Expires))
	}
}

// confirm grants a reservation whose total was written down while moves was the
// number of times that other journals had been taken into use. If that has changed,
// the total may stand in a journal that is out of use: then nothing is final.
func (s *shard) confirm(fence journal.Fence, r ledger.Reservation, c ledger.Cover, moves int) (reserveReply, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || s.fence != fence {
		return reserveReply{}, true, s.notHome()
	}
	if s.moves != moves {
		return reserveReply{}, false, nil
	}
	if !s.ledger.Confirm(r, c.Total, time.UnixMilli(c.Expires)) {
		return s.refuse(r), true, nil
	}
	return reserveReply{Granted: true}, true, nil
}

// logGrant reports a grant with what it rests on.
func (s *shard) logGrant(r ledger.Reservation, c ledger.Cover, by ledger.Decision) {
	s.home.granted.Inc()
	s.home.logger.WithField("request", r.ID).WithField("program", r.Program).WithField("shard", s.number).
		WithField("tokens", r.Tokens).WithField("budget", r.Budget).WithField("total", c.Total).WithField("covered_by", by.String()).
		Info("turn granted")
}

// withdraw ends a reservation that was not granted.
func (s *shard) withdraw(fence journal.Fence, r ledger.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held && s.fence == fence {
		s.ledger.Release(r.Program, r.ID, 0)
	}
}

// refuse says that the budget is spent.
func (s *shard) refuse(r ledger.Reservation) reserveReply {
	s.home.spent.Inc()
	s.home.logger.WithField("request", r.ID).WithField("program", r.Program).WithField("budget", r.Budget).Info("budget spent")
	return reserveReply{Spent: true}
}

// cover writes a total down: in a record first, where that is needed, and always in
// a journal. The order is what makes the journals complete: whoever has fenced them
// all knows every total that was granted, since one that is appended later, to a
// journal that is fenced, is refused and not granted.
func (s *shard) cover(ctx context.Context, fence journal.Fence, decision ledger.Decision, c ledger.Cover) error {
	if decision == ledger.Record {
		if err := s.writeRecord(ctx, fence, c); err != nil {
			return err
		}
	}
	err := s.append(ctx, fence, c)
	if err == nil || verdict.HasReason(err, verdict.NotHome) {
		return err
	}
	return unwritten(err)
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
	held, fence := s.held, s.fence
	s.ledger.Expire(now)
	s.mu.Unlock()
	if held {
		s.fenceMissing(ctx)
		s.resolve(ctx, fence)
		s.rebase(ctx)
	}
}

// state is the dump.
func (s *shard) state(now time.Time) ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{
		Shard: s.number, Held: s.held, Fence: s.fence.Number, Complete: s.isComplete(now), Journals: s.basis,
		Usages: s.ledger.Usages(),
	}
}
