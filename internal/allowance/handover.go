package allowance

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

// handoverTimeout bounds giving one shard to the next home; one that is not given
// is taken by way of its record.
const handoverTimeout = 500 * time.Millisecond

// HandOver gives every shard to the next home, in a planned stop, after the others
// have learned that this daemon leaves.
func (h *Home) HandOver(ctx context.Context) {
	var giving sync.WaitGroup
	for _, s := range h.known() {
		giving.Go(func() { s.handOver(ctx) })
	}
	giving.Wait()
}

// handOver stops deciding about the shard and tells the next home what is known.
func (s *shard) handOver(ctx context.Context) {
	successor := s.nextHome()
	s.mu.Lock()
	if !s.held || successor == "" {
		s.mu.Unlock()
		return
	}
	given := s.give()
	s.reset()
	s.standAside(successor)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := peer.Call(ctx, s.home.dialer, successor, methodTake, given, &done{}); err != nil {
		s.log().WithError(err).WithField("successor", successor).Info("shard not handed over")
		return
	}
	s.log().WithField("successor", successor).Info("shard handed over")
}

// give returns what the next home is to know. The caller holds mu.
func (s *shard) give() handover {
	given := handover{Fence: s.fence, Most: s.ledger.MaxTurnTokens(), Totals: s.ledger.Totals(time.Now())}
	if len(s.record.doubtful) == 0 {
		given.Journals = s.record.journals
	}
	return given
}

// nextHome returns the daemon that comes first for the shard beside this one, "" if
// there is none.
func (s *shard) nextHome() string {
	self := s.home.fleet.Self().Name
	for _, name := range ranked(s.home.fleet.Live(), s.number) {
		if name != self {
			return name
		}
	}
	return ""
}

// serveTake takes a shard from a home that leaves.
func (h *Home) serveTake(ctx context.Context, stream peer.Stream) error {
	var given handover
	if err := stream.Recv(&given); err != nil {
		return err
	}
	s := h.shard(given.Fence.Shard)
	select {
	case <-s.acquiring:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { s.acquiring <- struct{}{} }()
	if s.holds() {
		return verdict.Refuse(verdict.NotHome, "shard %d is held already", s.number)
	}
	if _, err := s.acquire(context.WithoutCancel(ctx), &given); err != nil {
		return unacquired(err)
	}
	return stream.Send(done{})
}

// reacquire takes the shard anew under a higher number, after another daemon has
// fenced journals. If that has taken the shard by the bridge, it is left to it.
func (s *shard) reacquire(ctx context.Context, fence journal.Fence) {
	<-s.acquiring
	defer func() { s.acquiring <- struct{}{} }()
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return
	}
	own := s.give()
	s.reset()
	s.mu.Unlock()
	if _, err := s.acquire(ctx, &own); err != nil {
		s.log().WithError(err).Info("shard not taken anew")
	}
}
