package tokenbudget

import (
	"context"
	"slices"
	"sync"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/verdict"
)

const (
	// handoverTimeout limits the handover of a shard to one daemon. If it fails, another home
	// acquires the shard from the checkpoint.
	handoverTimeout = 2 * time.Second
	// maxSuccessors limits the daemons to which a shard is offered.
	maxSuccessors = 3
)

// HandOver transfers every shard to its next home in a planned stop. It is called after the
// other daemons have learned that this one is leaving. From then on this daemon acquires no
// shard.
func (h *Home) HandOver(ctx context.Context) {
	h.leaving.Store(true)
	var handovers sync.WaitGroup
	for _, s := range h.knownShards() {
		handovers.Go(func() {
			// An acquisition in progress may still make this daemon the home.
			select {
			case <-s.acquiring:
				s.acquiring <- struct{}{}
			case <-ctx.Done():
			}
			s.handOver(ctx)
		})
	}
	handovers.Wait()
}

// handOver stops deciding about the shard and sends its state to the next home. Daemons that
// refuse it because they are leaving too are passed over.
func (s *shard) handOver(ctx context.Context) {
	successors := s.nextHomes()
	s.mu.Lock()
	if !s.held || len(successors) == 0 {
		s.mu.Unlock()
		return
	}
	state := s.prepareHandover()
	s.handing = state.Fence
	s.reset()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handing = journal.Fence{}
		s.notify()
	}()
	for _, successor := range successors[:min(len(successors), maxSuccessors)] {
		err := s.sendHandover(ctx, successor, state)
		if err == nil {
			s.mu.Lock()
			s.handedOver = state.Fence
			s.mu.Unlock()
		}
		if !verdict.HasReason(err, verdict.Stopping) {
			return
		}
	}
}

// sendHandover offers the shard to one daemon. Until it has answered, requests are redirected
// to it and other daemons leave the shard to it.
func (s *shard) sendHandover(ctx context.Context, successor string, state handover) error {
	s.mu.Lock()
	s.redirectTo(successor)
	s.handingTo = successor
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handingTo = ""
	}()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	started := time.Now()
	err := peer.Call(ctx, s.home.dialer, successor, methodTake, state, &empty{})
	entry := s.log().WithField("successor", successor).WithField("fence", state.Fence.Number).
		WithField("programs", len(state.Totals)).WithField("took_ms", time.Since(started).Milliseconds())
	if err != nil {
		entry.WithError(err).Info("shard not handed over")
		return err
	}
	entry.Info("shard handed over")
	return nil
}

// prepareHandover returns the state for the next home. The caller holds mu.
func (s *shard) prepareHandover() handover {
	state := handover{Fence: s.fence, Totals: s.ledger.Totals(time.Now())}
	if len(s.checkpoint.inDoubt) == 0 {
		state.Journals = s.checkpoint.journals
	}
	return state
}

// nextHomes returns the other daemons in the shard's order.
func (s *shard) nextHomes() []string {
	self := s.home.fleet.Self().Name
	return slices.DeleteFunc(rankHomes(s.home.fleet.Live(), s.number), func(name string) bool { return name == self })
}

// serveTake accepts a shard from a home that is leaving.
func (h *Home) serveTake(ctx context.Context, stream peer.Stream) error {
	var handed handover
	if err := stream.Recv(&handed); err != nil {
		return err
	}
	s := h.shard(handed.Fence.Shard)
	s.offer(&handed)
	select {
	case <-s.acquiring:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { s.acquiring <- struct{}{} }()
	if s.tookOverFrom(handed.Fence) {
		// A caller's request has started the acquisition, which used the offered state.
		return stream.Send(empty{})
	}
	if s.holds() {
		return verdict.Refuse(verdict.NotHome, "shard %d is held already", s.number)
	}
	if _, err := s.acquire(context.WithoutCancel(ctx), newAcquisition(&handed, nil)); err != nil {
		return acquireRefusal(err)
	}
	return stream.Send(empty{})
}

// offer stores the state of a leaving home for the acquisition in progress, if there is one.
func (s *shard) offer(handed *handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offered = handed
	wake(s.offerArrived)
}

// awaitOffer waits until the home that is handing the shard over to this daemon has sent its
// state, for at most handoverWait.
func (s *shard) awaitOffer(ctx context.Context) {
	select {
	case <-s.offerArrived:
	case <-timers.After(handoverWait):
	case <-ctx.Done():
	}
}

// handoverWait is how long a successor waits for the state of its predecessor: several times
// the transfer of 3,000 programs to another region.
const handoverWait = 300 * time.Millisecond

// takeOffer returns the state offered since the last call, nil if there is none.
func (s *shard) takeOffer() *handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	offered := s.offered
	s.offered = nil
	return offered
}

// hasOffer reports whether a state has been offered since the last takeOffer.
func (s *shard) hasOffer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offered != nil
}

// tookOverFrom reports whether this daemon is the home that follows a fence.
func (s *shard) tookOverFrom(fence journal.Fence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held && s.handedBy == fence
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
