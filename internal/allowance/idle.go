package allowance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/objectapi"
)

// idleState is what a home knows of the idle part of its record.
type idleState struct {
	known   bool
	version int64
}

// keepIdle moves programs that have become idle out of the active part of the record,
// so that this stays small, until ctx ends.
func (s *shard) keepIdle(ctx context.Context, fence journal.Fence) {
	ticker := time.NewTicker(s.home.config.IdleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := s.moveIdle(ctx, fence); err != nil && ctx.Err() == nil {
			s.log().WithError(err).Info("idle programs not moved yet")
		}
	}
}

// moveIdle writes the idle part. Only when that has succeeded does the active part
// leave out what was moved, so that a program is always found in one of them by who
// reads the active part first.
func (s *shard) moveIdle(ctx context.Context, fence journal.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.RecordTimeout)
	defer cancel()
	if err := s.rereadIdle(ctx, fence); err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	if !s.holdsUnder(fence) || s.record.failing {
		s.mu.Unlock()
		return nil
	}
	covers := s.ledger.BeginIdleCheckpoint(now.Add(-s.home.config.IdleAfter), now)
	expected := s.idle.version
	s.mu.Unlock()
	if covers == nil {
		return nil
	}
	next := record{Epoch: fence.Number, Home: fence.Home}
	next.set(covers)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := s.home.store.Put(ctx, idleKey(s.number), value, expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return errReplaced
	}
	s.ledger.EndIdleCheckpoint(err == nil)
	s.idle = idleState{known: err == nil || errors.Is(err, objectapi.ErrUnavailable), version: version}
	if err != nil {
		s.idle.version = expected
	}
	return err
}

// rereadIdle reads the version of the idle part unless it is known. Its content is
// known from the takeover; a former home has at most moved what this one still has in
// the active part.
func (s *shard) rereadIdle(ctx context.Context, fence journal.Fence) error {
	s.mu.Lock()
	known := s.idle.known
	s.mu.Unlock()
	if known {
		return nil
	}
	_, version, err := s.readIdle(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdsUnder(fence) {
		s.idle = idleState{known: true, version: version}
	}
	return nil
}

// readIdle reads the idle part.
func (s *shard) readIdle(ctx context.Context) (record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.RecordTimeout)
	defer cancel()
	return decodeRecord(s.home.store.Get(ctx, idleKey(s.number)))
}
