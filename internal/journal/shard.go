package journal

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// Errors of a held shard.
var (
	// ErrLost is returned after another home claimed the shard or the shard was
	// abandoned here.
	ErrLost = errors.New("shard is no longer held")
	// ErrPlatformDown is returned when the platform accepts no writes and the change was
	// not part of any write that may have taken effect.
	ErrPlatformDown = errors.New("platform takes no writes")
	// ErrShardFull is returned when the change would exceed the size limit of the shard
	// object.
	ErrShardFull = errors.New("shard object is full")
)

// Shard is a shard held by this daemon: the working state and its commit loop. It
// is safe for concurrent use.
//
// A change is applied to the working state immediately and gets a sequence number.
// A write stores the whole working state, so a change is durable once a write with
// its sequence number or a higher one took effect. The working state is never rolled
// back while the shard is held, and is discarded as a whole when the shard is lost.
type Shard struct {
	cfg    Config
	store  objectapi.Store
	writer *writer
	dirty  chan struct{}
	// previous is the number of segments that the previous holder recorded.
	// CollectGarbage deletes the orphans above it.
	previous segmentCount

	mu             sync.Mutex
	state          *State
	seq            int64     // of the newest change
	committedSeq   int64     // of the newest durable change
	writingSeq     int64     // of the newest change in the write in progress, or 0
	unresolvedSeq  int64     // of the newest change in a write with an unknown outcome, or 0
	writeStartedAt time.Time // start of the last write
	confirmedAt    time.Time // latest time at which the shard is known to have been held
	failing        bool      // the last write failed
	sizeBytes      int       // size of the last encoded state plus the later reservations, in bytes
	lost           error
	successor      *State
	progress       chan struct{} // closed and replaced when one of the fields above changes
}

// segmentCount is the number of segments of an epoch.
type segmentCount struct {
	epoch int64
	count int64
}

func newShard(store objectapi.Store, state *State, previous segmentCount, w *writer, cfg Config) *Shard {
	return &Shard{
		cfg:      cfg,
		store:    store,
		writer:   w,
		dirty:    make(chan struct{}, 1),
		previous: previous,
		state:    state,
		progress: make(chan struct{}),
	}
}

// View calls read with the working state. read must not modify or retain it.
func (s *Shard) View(read func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.state)
}

// Update applies change to the working state and returns its sequence number. An
// error of change is returned unwrapped; change must not have modified anything in
// that case.
func (s *Shard) Update(change func(*State) error) (int64, error) {
	return s.UpdateSeq(func(state *State, _ int64) error { return change(state) })
}

// UpdateSeq is like Update but also passes the sequence number to change.
func (s *Shard) UpdateSeq(change func(*State, int64) error) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return 0, s.lost
	}
	if err := change(s.state, s.seq+1); err != nil {
		return 0, err
	}
	s.seq++
	s.wakeCommitLoop()
	return s.seq, nil
}

// UpdateIf applies change, which reports whether it modified the state. It
// returns the sequence number, or 0 if nothing was modified.
func (s *Shard) UpdateIf(change func(*State) bool) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return 0, s.lost
	}
	if !change(s.state) {
		return 0, nil
	}
	s.seq++
	s.wakeCommitLoop()
	return s.seq, nil
}

// Reserve reserves space in the shard object for a change that adds about n bytes.
// It returns ErrShardFull if the object would exceed share, a fraction between 0 and 1,
// of the platform's size limit. The next write replaces the estimate by the actual
// size.
func (s *Shard) Reserve(n int, share float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.sizeBytes+n) > share*objectapi.MaxValueBytes {
		return ErrShardFull
	}
	s.sizeBytes += n
	return nil
}

// CommittedSeq returns the sequence number of the newest durable change.
func (s *Shard) CommittedSeq() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committedSeq
}

// wakeCommitLoop wakes the commit loop without blocking.
func (s *Shard) wakeCommitLoop() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// Withdraw reverts the change with sequence number seq by applying undo. It returns
// the sequence number of the withdrawal. clean is true if no write that contains the
// change can have taken effect, so that the caller need not wait for the withdrawal.
func (s *Shard) Withdraw(seq int64, undo func(*State)) (withdrawal int64, clean bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return 0, false, s.lost
	}
	undo(s.state)
	s.seq++
	s.wakeCommitLoop()
	return s.seq, seq > s.maybeStored(), nil
}

// maybeStored returns the sequence number of the newest change that the platform may
// have stored. The caller holds mu.
func (s *Shard) maybeStored() int64 {
	return max(s.committedSeq, s.writingSeq, s.unresolvedSeq)
}

// Wait blocks until the change with sequence number seq is durable. It returns
// ErrLost if the shard is lost before, or the error of ctx.
func (s *Shard) Wait(ctx context.Context, seq int64) error {
	return s.wait(ctx, seq, func() error { return nil })
}

// WaitUnlessDown is like Wait but returns ErrPlatformDown as soon as the platform
// accepts no writes and the change is not part of any write that may have taken effect.
func (s *Shard) WaitUnlessDown(ctx context.Context, seq int64) error {
	return s.wait(ctx, seq, func() error {
		if s.failing && seq > s.maybeStored() {
			return ErrPlatformDown
		}
		return nil
	})
}

func (s *Shard) wait(ctx context.Context, seq int64, giveUp func() error) error {
	for {
		s.mu.Lock()
		committed, lost, progress := s.committedSeq >= seq, s.lost, s.progress
		err := giveUp()
		s.mu.Unlock()
		switch {
		case committed:
			return nil
		case lost != nil:
			return lost
		case err != nil:
			return err
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// PlatformDown reports whether the last write failed or the write in progress takes longer
// than Config.SlowAfter.
func (s *Shard) PlatformDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return true
	}
	return s.writingSeq > 0 && time.Since(s.writeStartedAt) > s.cfg.SlowAfter
}

// UnansweredFor returns how long the platform has not answered a write. Unlike PlatformDown,
// it ignores a write that is only slow, for example after a pause of this process.
func (s *Shard) UnansweredFor() time.Duration { return s.writer.outage.duration() }

// ConfirmedAt returns the start time of the latest write or Confirm that showed that
// the shard was held here. It is zero before the first one.
func (s *Shard) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// Lost reports whether the shard is no longer held by this daemon.
func (s *Shard) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost != nil
}

// Successor returns the state of another home that was found in the shard object
// when the shard was lost, or nil.
func (s *Shard) Successor() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor
}

// Abandon gives up the shard without a write. Blocked calls of Wait and
// WaitUnlessDown return ErrLost.
func (s *Shard) Abandon() { s.markLost(nil) }

func (s *Shard) markLost(successor *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return
	}
	s.lost = ErrLost
	s.successor = successor
	s.notifyWaiters()
}

// notifyWaiters wakes the blocked calls of Wait and WaitUnlessDown. The caller holds mu.
func (s *Shard) notifyWaiters() {
	close(s.progress)
	s.progress = make(chan struct{})
}
