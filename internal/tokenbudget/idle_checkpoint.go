package tokenbudget

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/journal"
)

// idleCheckpointState is a home's view of the idle checkpoint.
type idleCheckpointState struct {
	known   bool
	version int64
}

// runIdleWriter moves idle programs from the active to the idle checkpoint until ctx ends,
// so that the active one stays small.
func (s *shard) runIdleWriter(ctx context.Context, fence journal.Fence) {
	ticker := timers.NewTicker(s.home.config.IdleCheckpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := s.writeIdleCheckpoint(ctx, fence); err != nil && ctx.Err() == nil {
			s.log().WithError(err).Info("idle programs not moved to the idle checkpoint")
		}
	}
}

// writeIdleCheckpoint writes the idle checkpoint. The active checkpoint omits the moved
// programs only after this write has succeeded, so that a reader of the active one and then
// the idle one always finds every program.
func (s *shard) writeIdleCheckpoint(ctx context.Context, fence journal.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.CheckpointTimeout)
	defer cancel()
	if err := s.reloadIdleVersion(ctx, fence); err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	if !s.holdsUnder(fence) || s.checkpoint.failing {
		s.mu.Unlock()
		return nil
	}
	totals := s.ledger.BeginIdleCheckpoint(now.Add(-s.home.config.IdleAfter), now)
	expected := s.idleCheckpoint.version
	s.mu.Unlock()
	if totals == nil {
		return nil
	}
	next := checkpoint{Epoch: fence.Number, Home: fence.Home}
	next.setTotals(totals)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := s.home.store.Put(ctx, idleCheckpointKey(s.number), value, expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return errReplaced
	}
	s.ledger.EndIdleCheckpoint(err == nil)
	s.idleCheckpoint = idleCheckpointState{known: err == nil || errors.Is(err, objectapi.ErrUnavailable), version: version}
	if err != nil {
		s.idleCheckpoint.version = expected
	}
	return err
}

// reloadIdleVersion reads the version of the idle checkpoint unless it is known. Its content
// is known from the takeover: a previous home can at most have moved programs that this one
// still has in the active checkpoint. A later home may have moved programs that this one does
// not know, so that its checkpoint must not be overwritten.
func (s *shard) reloadIdleVersion(ctx context.Context, fence journal.Fence) error {
	s.mu.Lock()
	known := s.idleCheckpoint.known
	s.mu.Unlock()
	if known {
		return nil
	}
	current, version, err := s.readIdleCheckpoint(ctx)
	if err != nil {
		return err
	}
	if current.Epoch > fence.Number {
		s.giveUp(fence, current.Home, current.Epoch)
		return errReplaced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdsUnder(fence) {
		s.idleCheckpoint = idleCheckpointState{known: true, version: version}
	}
	return nil
}

// readIdleCheckpoint reads the idle checkpoint and the version of its object.
func (s *shard) readIdleCheckpoint(ctx context.Context) (checkpoint, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.CheckpointTimeout)
	defer cancel()
	return decodeCheckpoint(s.home.store.Get(ctx, idleCheckpointKey(s.number)))
}
