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
	// ErrLost means that another home holds the shard now, or that it was
	// given up.
	ErrLost = errors.New("shard is no longer held")
	// ErrDown means that the platform takes no writes and that the change was
	// in none that may have taken effect.
	ErrDown = errors.New("platform takes no writes")
	// ErrFull means that the shard object has no room for the change.
	ErrFull = errors.New("shard object is full")
)

// Shard is a held shard: its working state and the loop that commits it.
//
// Changes are made to the working state at once and numbered. A write stores
// the working state as a whole, so a change is durable when a write with its
// number or a later one took effect. The working state is never rolled back
// while the shard is held; when it is lost, all of it is dropped.
type Shard struct {
	cfg    Config
	store  objectapi.Store
	writer *writer
	dirty  chan struct{}
	// former is where the segments of the former holder end. Collect uses it.
	former segments

	mu        sync.Mutex
	state     *State
	seq       int64     // newest change
	committed int64     // newest durable change
	writing   int64     // newest change in the write under way, or 0
	doubtful  int64     // newest change in a write in doubt, or 0
	started   time.Time // of the last write
	confirmed time.Time // the shard was held here then for certain
	failing   bool
	size      int // of the last encoded state, with what was reserved since
	lost      error
	successor *State
	progress  chan struct{} // closed at each change of the fields above
}

// segments counts the segments of an epoch.
type segments struct {
	epoch int64
	count int64
}

func newShard(store objectapi.Store, state *State, former segments, w *writer, cfg Config) *Shard {
	return &Shard{
		cfg:      cfg,
		store:    store,
		writer:   w,
		dirty:    make(chan struct{}, 1),
		former:   former,
		state:    state,
		progress: make(chan struct{}),
	}
}

// View calls read with the working state, which must not be kept or modified.
func (s *Shard) View(read func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.state)
}

// Update applies change to the working state and returns its number. An error
// of change is returned as it is; change must then have modified nothing.
func (s *Shard) Update(change func(*State) error) (int64, error) {
	return s.UpdateSeq(func(state *State, _ int64) error { return change(state) })
}

// UpdateSeq is Update for a change that needs its own number.
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
	s.signal()
	return s.seq, nil
}

// UpdateIf applies change, which reports whether it modified the state. It
// returns the number of the change, or 0 when nothing was modified.
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
	s.signal()
	return s.seq, nil
}

// Reserve sets room in the shard object aside for a change that adds about n
// bytes. It returns ErrFull when share, a part of the platform's limit between
// 0 and 1, would be exceeded. The next write replaces the estimate.
func (s *Shard) Reserve(n int, share float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.size+n) > share*objectapi.MaxValueBytes {
		return ErrFull
	}
	s.size += n
	return nil
}

// Committed is the number of the newest durable change.
func (s *Shard) Committed() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committed
}

// signal wakes the commit loop.
func (s *Shard) signal() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// Withdraw takes back the change with the given number by applying undo. It
// returns the number of the withdrawal, and clean when no write with the change
// may have taken effect, so that nothing needs to be waited for.
func (s *Shard) Withdraw(seq int64, undo func(*State)) (withdrawal int64, clean bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return 0, false, s.lost
	}
	undo(s.state)
	s.seq++
	s.signal()
	return s.seq, seq > s.exposed(), nil
}

// exposed is the newest change that the platform may hold. The caller holds mu.
func (s *Shard) exposed() int64 {
	return max(s.committed, s.writing, s.doubtful)
}

// Wait returns nil when the change is durable, ErrLost, or the error of ctx.
func (s *Shard) Wait(ctx context.Context, seq int64) error {
	return s.wait(ctx, seq, func() error { return nil })
}

// Try is like Wait but returns ErrDown as soon as the platform takes no writes
// and has none that may contain the change.
func (s *Shard) Try(ctx context.Context, seq int64) error {
	return s.wait(ctx, seq, func() error {
		if s.failing && seq > s.exposed() {
			return ErrDown
		}
		return nil
	})
}

func (s *Shard) wait(ctx context.Context, seq int64, giveUp func() error) error {
	for {
		s.mu.Lock()
		committed, lost, progress := s.committed >= seq, s.lost, s.progress
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

// Down reports whether the last write failed or the present one is slow.
func (s *Shard) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return true
	}
	return s.writing > 0 && time.Since(s.started) > s.cfg.SlowAfter
}

// FailingFor returns for how long the platform has answered no write. Unlike
// Down it does not count a write that is merely slow, as after a pause of this
// process.
func (s *Shard) FailingFor() time.Duration { return s.writer.silence.length() }

// ConfirmedAt is the latest time at which a write or Confirm has shown that the
// shard was held here; it is zero before the first one.
func (s *Shard) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// Lost reports whether the shard is no longer held.
func (s *Shard) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost != nil
}

// Successor returns the state that another home left in the shard object, as
// seen when the shard was lost, or nil.
func (s *Shard) Successor() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor
}

// Abandon drops the shard without a write. Waiting callers get ErrLost.
func (s *Shard) Abandon() { s.drop(nil) }

func (s *Shard) drop(successor *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return
	}
	s.lost = ErrLost
	s.successor = successor
	s.wake()
}

// wake tells waiting callers to look again. The caller holds mu.
func (s *Shard) wake() {
	close(s.progress)
	s.progress = make(chan struct{})
}
