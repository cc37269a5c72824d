package journal

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Run commits changes until ctx ends or the shard is lost.
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
		begun := time.Now()
		if err := s.commit(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, s.pause(begun)); err != nil {
			return err
		}
	}
}

// pause is the wait after a write that began at the given time. Between the
// beginnings of two writes lies Interval, and more for a large object, so that
// one shard writes at most BytesPerSecond.
func (s *Shard) pause(begun time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	bySize := time.Duration(s.size) * time.Second / time.Duration(s.cfg.BytesPerSecond)
	return max(s.cfg.Interval, bySize) - time.Since(begun)
}

// commit writes until an attempt took effect.
func (s *Shard) commit(ctx context.Context) error {
	wait := s.cfg.RetryMin
	for {
		if err := s.spill(ctx); err != nil {
			s.fail()
		} else if err := s.attempt(ctx); err == nil {
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

// attempt writes the working state once.
func (s *Shard) attempt(ctx context.Context) error {
	value, try, err := s.begin()
	if err != nil {
		return err
	}
	landed, err := s.writer.write(ctx, value, try)
	var lost *lostError
	if errors.As(err, &lost) {
		s.drop(lost.successor)
		return ErrLost
	}
	s.finish(landed, err)
	return err
}

// begin encodes the working state for a write.
func (s *Shard) begin() ([]byte, attempt, error) {
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
	s.size = len(value)
	s.writing = s.seq
	s.started = time.Now()
	return value, attempt{nonce: s.state.Nonce, seq: s.seq}, nil
}

// finish notes the outcome of a write.
func (s *Shard) finish(landed attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = 0
	s.doubtful = s.writer.exposed()
	s.failing = err != nil
	if err == nil {
		s.committed = landed.seq
		s.confirmed = s.started
	}
	if s.committed < s.seq {
		s.signal()
	}
	s.wake()
}

// fail notes that no write is possible.
func (s *Shard) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
	s.wake()
}
