package journal

import "context"

// Confirm reads the shard object and returns nil if its epoch is still the one
// under which the shard is held. It returns ErrLost, and drops the shard, when
// another home took it over, and a platform error when that cannot be told.
func (s *Shard) Confirm(ctx context.Context) error {
	s.mu.Lock()
	id, epoch := s.state.Shard, s.state.Epoch
	s.mu.Unlock()
	head, err := Read(ctx, s.store, id)
	if err != nil {
		return err
	}
	if head.State.Epoch == epoch {
		return nil
	}
	s.drop(head.State)
	return ErrLost
}
