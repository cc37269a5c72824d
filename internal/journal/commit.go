package journal

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Run commits changes until ctx ends or the shard is lost, and returns the error of
// ctx or ErrLost. It abandons the shard on return.
func (s *Shard) Run(ctx context.Context) error {
	defer s.Abandon()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.dirty:
		}
		if s.Lost() {
			return ErrLost
		}
		startedAt := time.Now()
		if err := s.commit(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, s.pauseAfter(startedAt)); err != nil {
			return err
		}
	}
}

// pauseAfter returns how long to wait after a write that began at the given time.
// Writes start at least Config.WriteInterval apart, and further apart for a large
// object, so that one shard writes at most Config.BytesPerSecond.
func (s *Shard) pauseAfter(startedAt time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	bySize := time.Duration(s.sizeBytes) * time.Second / time.Duration(s.cfg.BytesPerSecond)
	return max(s.cfg.WriteInterval, bySize) - time.Since(startedAt)
}

// commit retries with exponential backoff until a write takes effect.
func (s *Shard) commit(ctx context.Context) error {
	wait := s.cfg.RetryMin
	for {
		if err := s.spill(ctx); err != nil {
			s.markFailing()
		} else if err := s.tryCommit(ctx); err == nil {
			return nil
		} else if errors.Is(err, ErrLost) {
			return err
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, s.cfg.RetryMax)
	}
}

// tryCommit performs one write of the working state.
func (s *Shard) tryCommit(ctx context.Context) error {
	value, att, err := s.beginWrite()
	if err != nil {
		return err
	}
	applied, err := s.writer.write(ctx, value, att)
	var lost *lostError
	if errors.As(err, &lost) {
		s.markLost(lost.successor)
		return ErrLost
	}
	s.finishWrite(applied, err)
	return err
}

// beginWrite encodes the working state under a new nonce and marks the write as started.
func (s *Shard) beginWrite() ([]byte, attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return nil, attempt{}, ErrLost
	}
	s.state.Nonce = uuid.NewString()
	value, err := s.state.Encode()
	if err != nil {
		return nil, attempt{}, err
	}
	s.sizeBytes = len(value)
	s.writingSeq = s.seq
	s.writeStartedAt = time.Now()
	return value, attempt{nonce: s.state.Nonce, seq: s.seq}, nil
}

// finishWrite records the outcome of a write.
func (s *Shard) finishWrite(applied attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writingSeq = 0
	s.unresolvedSeq = s.writer.maybeStored()
	s.failing = err != nil
	if err == nil {
		s.committedSeq = applied.seq
		s.confirmedAt = s.writeStartedAt
	}
	if s.committedSeq < s.seq {
		s.wakeCommitLoop()
	}
	s.notifyWaiters()
}

// markFailing records that segments cannot be written.
func (s *Shard) markFailing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
	s.notifyWaiters()
}
