package journal

import (
	"context"
	"time"
)

// Confirm reads the shard object and returns nil if its epoch is still the one
// under which the shard is held. It returns ErrLost, and drops the shard, when
// another home took it over, and a platform error when that cannot be told.
func (s *Shard) Confirm(ctx context.Context) error {
	s.mu.Lock()
	id, epoch := s.state.Shard, s.state.Epoch
	s.mu.Unlock()
	asked := time.Now()
	head, err := Read(ctx, s.store, id)
	if err != nil {
		return err
	}
	if head.State.Epoch == epoch {
		s.mu.Lock()
		s.confirmed = asked
		s.mu.Unlock()
		return nil
	}
	s.drop(head.State)
	return ErrLost
}
