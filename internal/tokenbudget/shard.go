package tokenbudget

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// shard holds the programs of one shard at a home. Its state is discarded when this daemon
// stops being the home.
type shard struct {
	home   *Home
	number int

	// acquiring holds a token that is taken for the duration of an acquisition.
	acquiring chan struct{}
	flight    singleflight.Group
	// checkpointWake and replicaWake wake the two writers.
	checkpointWake chan struct{}
	replicaWake    chan struct{}

	mu     sync.Mutex
	held   bool
	fence  journal.Fence
	ledger *ledger.Ledger
	// changed is closed and replaced when a write of totals has succeeded or failed, and
	// when the shard is given up.
	changed chan struct{}
	// claiming is set while this daemon takes over a shard that it has claimed.
	claiming bool
	// writeFailures counts how often the journals were found unreachable.
	writeFailures int
	// stop stops the writers.
	stop context.CancelFunc

	checkpoint     checkpointState
	idleCheckpoint idleCheckpointState
	replica        replicaState
	// sequence numbers the writes to checkpoint and journals under the fence.
	sequence int64
	// storedSequence is the number of the last write that made totals durable.
	storedSequence int64
	// decisions counts the reservations of other daemons that this one has decided about.
	decisions int64
	// fencedJournals are the journals that accepted this home's fence, and wantedJournals
	// those that the checkpoint is to list.
	fencedJournals map[string]fencedJournal
	wantedJournals journalSet

	// released holds when turns ended, by their reservation, since about releasedSince.
	released      map[string]time.Time
	releasedSince time.Time

	// handingTo is the daemon to which the shard is being handed over, and handing the fence under which it was
	// held until then. handedOver is the fence of the last handover that succeeded.
	handingTo  string
	handing    journal.Fence
	handedOver journal.Fence
	// offered is the state that a leaving home has sent to this daemon, and offerArrived
	// signals it. handedBy is the fence of the home from whose state this one started.
	offered      *handover
	offerArrived chan struct{}
	handedBy     journal.Fence

	// successor is the home that replaced this one. Requests are redirected to it until
	// redirectUntil.
	successor     string
	redirectUntil time.Time
	// highestFence is the highest fence number seen.
	highestFence int64
	// quorumLostAt is the time since which too few journals are reachable, zero if enough
	// are.
	quorumLostAt time.Time
}

func newShard(h *Home, number int) *shard {
	s := &shard{
		home: h, number: number, changed: make(chan struct{}),
		acquiring: make(chan struct{}, 1), checkpointWake: make(chan struct{}, 1), replicaWake: make(chan struct{}, 1),
		offerArrived: make(chan struct{}, 1),
	}
	s.acquiring <- struct{}{}
	s.reset()
	return s
}

func (s *shard) log() *log.Entry { return s.home.logger.WithField("shard", s.number) }

// reset discards all state and stops the writers. The caller holds mu.
func (s *shard) reset() {
	if s.stop != nil {
		s.stop()
	}
	s.held = false
	s.ledger = ledger.New(time.Time{})
	s.checkpoint = checkpointState{}
	s.idleCheckpoint = idleCheckpointState{}
	s.replica = replicaState{}
	s.sequence, s.storedSequence = 0, 0
	s.decisions = 0
	s.handedBy = journal.Fence{}
	s.released = map[string]time.Time{}
	s.fencedJournals = map[string]fencedJournal{}
	s.wantedJournals = nil
	s.notify()
}

// notify wakes the waiting reservations. The caller holds mu.
func (s *shard) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *shard) holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// holdsUnder reports whether the shard is still held under a fence. The caller holds
// mu.
func (s *shard) holdsUnder(fence journal.Fence) bool { return s.held && s.fence == fence }

// redirectTarget returns the home that recently replaced this one, "" if there is none.
func (s *shard) redirectTarget(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.redirectUntil) {
		return ""
	}
	return s.successor
}

// status returns the answer to another daemon that asks whether this one decides about the
// shard.
func (s *shard) status() holdsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	canDecide := s.held && !s.replica.unreachable
	return holdsReply{Holds: canDecide || s.claiming, Successor: s.handingTo}
}

// successorHolds reports whether the home that recently replaced this one is live and decides.
func (s *shard) successorHolds(ctx context.Context, now time.Time) bool {
	successor := s.redirectTarget(now)
	return s.home.isLive(successor) && s.askIncumbent(ctx, successor).answer == answerHolds
}

// redirectTo redirects requests about the shard to another home for RedirectDuration. The
// caller holds mu.
func (s *shard) redirectTo(home string) {
	if home != s.home.fleet.Self().Name {
		s.successor = home
		s.redirectUntil = time.Now().Add(s.home.config.RedirectDuration)
	}
}

// giveUp gives the shard up after another home has fenced it, if fence is still the one in
// force here.
func (s *shard) giveUp(fence journal.Fence, successor string, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestFence = max(s.highestFence, number)
	if !s.holdsUnder(fence) {
		return
	}
	s.reset()
	s.redirectTo(successor)
	s.home.orphaned.Store(true)
	s.home.shardsLost.Inc()
	s.log().WithField("fence", fence.Number).WithField("successor", successor).Info("budgets of a shard given up")
}

// wake wakes a writer.
func wake(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

// reserve decides about a reservation. If its total is not durable yet, the reply is
// provisional and the confirmation returns the final decision.
func (s *shard) reserve(
	ctx context.Context, r ledger.Reservation, skipped []string,
) (reserveReply, confirmation, error) {
	holder, err := s.ensureHeld(ctx, skipped)
	if err != nil || holder != "" {
		return reserveReply{Home: holder}, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held {
		return reserveReply{}, nil, s.notHome()
	}
	if _, ended := s.released[r.ID]; ended {
		return reserveReply{}, nil, s.notHome()
	}
	s.setDurability()
	decision := s.ledger.Reserve(r, time.Now())
	if decision == ledger.InDoubt {
		// Nobody tells of the end of a turn whose daemon is gone: it broke off.
		reachable := s.home.fleet.Reachable()
		s.ledger.EndDoubt(r.Program, func(id string) bool { return !servedBy(id, reachable) })
		decision = s.ledger.Reserve(r, time.Now())
	}
	if decision != ledger.NotDurable {
		reply, err := s.reply(r, decision, 0)
		return reply, nil, err
	}
	if s.replica.unreachable {
		s.ledger.Release(r.Program, r.ID, 0)
		return reserveReply{}, nil, totalNotDurable(errNotDurable)
	}
	fence, failures := s.fence, s.writeFailures
	confirm := func(ctx context.Context) (reserveReply, error) { return s.confirm(ctx, r, fence, failures) }
	return reserveReply{Provisional: true}, confirm, nil
}

// countDecision counts a reservation of another daemon.
func (s *shard) countDecision() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions++
}

// confirm waits until the total of a held reservation is durable. Failures is the value of
// writeFailures at the time of the reservation.
func (s *shard) confirm(
	ctx context.Context, r ledger.Reservation, fence journal.Fence, failures int,
) (reserveReply, error) {
	started := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if !s.holdsUnder(fence) {
			return reserveReply{}, s.notHome()
		}
		s.setDurability()
		if decision := s.ledger.Check(r); decision != ledger.NotDurable {
			return s.reply(r, decision, time.Since(started))
		}
		err := s.awaitChange(ctx)
		if err == nil && s.writeFailures != failures {
			err = errNotDurable
		}
		if err != nil && s.holdsUnder(fence) {
			s.ledger.Release(r.Program, r.ID, 0)
		}
		if err != nil {
			return reserveReply{}, totalNotDurable(err)
		}
	}
}

// awaitChange wakes the writer that the reservations wait for and waits for the next change.
// The caller holds mu, which is released while waiting.
func (s *shard) awaitChange(ctx context.Context) error {
	changed, writer := s.changed, s.replicaWake
	if !s.canReplicate() {
		writer = s.checkpointWake
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	wake(writer)
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reply returns the reply for a decision and logs it. The caller holds mu.
func (s *shard) reply(r ledger.Reservation, decision ledger.Decision, waited time.Duration) (reserveReply, error) {
	entry := s.log().WithField("request", r.Request).WithField("program", r.Program).WithField("budget", r.Budget).
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
	case ledger.InDoubt:
		s.home.inDoubt.Inc()
		entry.WithField("total", s.ledger.Total(r.Program)).Info("budget in doubt until turns of the previous home are known to have ended")
		return reserveReply{InDoubt: true}, nil
	default:
		return reserveReply{}, s.notHome()
	}
}

// notHome returns the refusal of a request that another daemon has to decide.
func (s *shard) notHome() error {
	return verdict.Refuse(verdict.NotHome, "another daemon decides about the budgets of shard %d", s.number)
}

// totalNotDurable returns the refusal of a reservation whose total could not be stored.
func totalNotDurable(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, verdict.PlatformDown, "the budget's record cannot be written")
}

// release ends reservations, unless an earlier message has, and returns once their ends are stored. Otherwise
// the next home could charge the turns again.
func (s *shard) release(ctx context.Context, turns []endedTurn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held {
		return s.notHome()
	}
	fence := s.fence
	for _, turn := range turns {
		s.ledger.Release(turn.Program, turn.ID, turn.Used)
		s.rememberRelease(turn.ID)
	}
	for released := s.sequence; s.storedSequence <= released; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		switch {
		case ctx.Err() != nil:
			return totalNotDurable(ctx.Err())
		case s.holdsUnder(fence) || s.handing == fence:
		case s.handedOver == fence:
			return nil
		default:
			return s.notHome()
		}
	}
	return nil
}

// rememberRelease makes a message that reserves the tokens of a turn and arrives after its end have no effect.
// The caller holds mu.
func (s *shard) rememberRelease(id string) {
	now := time.Now()
	s.released[id] = now
	if now.Sub(s.releasedSince) < releaseMemory {
		return
	}
	s.releasedSince = now
	maps.DeleteFunc(s.released, func(_ string, at time.Time) bool { return now.Sub(at) >= releaseMemory })
}

// releaseMemory is the time for which the end of a turn is remembered: longer than a reservation may be under way.
const releaseMemory = 5 * time.Second

// state returns the shard's state for the dump.
func (s *shard) state() ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{
		Shard: s.number, Held: s.held, Fence: s.fence.Number, CheckpointVersion: s.checkpoint.version,
		Journals: s.checkpoint.journals, Replica: s.replica.journals, Usages: s.ledger.Usages(),
	}
}
