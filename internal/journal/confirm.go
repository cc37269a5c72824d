package journal

import (
	"context"
	"time"
)

// Confirm reads the shard object and returns nil if its epoch is still the one
// under which the shard is held. It marks the shard as lost and returns ErrLost if
// another home claimed it, and returns a platform error if the object cannot be
// read.
func (s *Shard) Confirm(ctx context.Context) error {
	s.mu.Lock()
	id, epoch := s.state.Shard, s.state.Epoch
	s.mu.Unlock()
	readAt := time.Now()
	head, err := Read(ctx, s.store, id)
	if err != nil {
		return err
	}
	if head.State.Epoch == epoch {
		s.mu.Lock()
		s.confirmedAt = readAt
		s.mu.Unlock()
		return nil
	}
	s.markLost(head.State)
	return ErrLost
}
