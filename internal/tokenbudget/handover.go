package tokenbudget

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/verdict"
)

// handoverTimeout limits the handover of one shard. If it fails, the next home acquires the
// shard from the checkpoint.
const handoverTimeout = 500 * time.Millisecond

// HandOver transfers every shard to its next home in a planned stop. It is called after the
// other daemons have learned that this one is leaving.
func (h *Home) HandOver(ctx context.Context) {
	var handovers sync.WaitGroup
	for _, s := range h.knownShards() {
		handovers.Go(func() { s.handOver(ctx) })
	}
	handovers.Wait()
}

// handOver stops deciding about the shard and sends its state to the next home.
func (s *shard) handOver(ctx context.Context) {
	successor := s.nextHome()
	s.mu.Lock()
	if !s.held || successor == "" {
		s.mu.Unlock()
		return
	}
	state := s.prepareHandover()
	s.reset()
	s.redirectTo(successor)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	started := time.Now()
	err := peer.Call(ctx, s.home.dialer, successor, methodTake, state, &empty{})
	entry := s.log().WithField("successor", successor).WithField("fence", state.Fence.Number).
		WithField("programs", len(state.Totals)).WithField("took_ms", time.Since(started).Milliseconds())
	if err != nil {
		entry.WithError(err).Info("shard not handed over")
		return
	}
	entry.Info("shard handed over")
}

// prepareHandover returns the state for the next home. The caller holds mu.
func (s *shard) prepareHandover() handover {
	state := handover{Fence: s.fence, MaxTurnTokens: s.ledger.MaxTurnTokens(), Totals: s.ledger.Totals(time.Now())}
	if len(s.checkpoint.inDoubt) == 0 {
		state.Journals = s.checkpoint.journals
	}
	return state
}

// nextHome returns the first daemon in the shard's order other than this one, "" if there is
// none.
func (s *shard) nextHome() string {
	self := s.home.fleet.Self().Name
	for _, name := range rankHomes(s.home.fleet.Live(), s.number) {
		if name != self {
			return name
		}
	}
	return ""
}

// serveTake accepts a shard from a home that is leaving.
func (h *Home) serveTake(ctx context.Context, stream peer.Stream) error {
	var handed handover
	if err := stream.Recv(&handed); err != nil {
		return err
	}
	s := h.shard(handed.Fence.Shard)
	select {
	case <-s.acquiring:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { s.acquiring <- struct{}{} }()
	if s.holds() {
		return verdict.Refuse(verdict.NotHome, "shard %d is held already", s.number)
	}
	if _, err := s.acquire(context.WithoutCancel(ctx), newAcquisition(&handed, nil)); err != nil {
		return shardNotAcquired(err)
	}
	return stream.Send(empty{})
}

// reacquire acquires the shard again under a higher fence number after another daemon has
// fenced journals. If that daemon has taken the shard over from the journals, it keeps it.
func (s *shard) reacquire(ctx context.Context, fence journal.Fence) {
	<-s.acquiring
	defer func() { s.acquiring <- struct{}{} }()
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return
	}
	own := s.prepareHandover()
	s.reset()
	s.mu.Unlock()
	if _, err := s.acquire(ctx, newAcquisition(&own, nil)); err != nil {
		s.log().WithError(err).Info("shard not reacquired")
	}
}
