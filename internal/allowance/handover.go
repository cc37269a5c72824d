package allowance

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

// handoverTimeout bounds giving one shard to the next home; one that is not given
// is taken from the journals.
const handoverTimeout = 500 * time.Millisecond

// HandOver gives every shard to the next home, in a planned stop, after the others
// have learned that this daemon leaves.
func (h *Home) HandOver(ctx context.Context) {
	var giving sync.WaitGroup
	for _, s := range h.held() {
		giving.Go(func() { s.handOver(ctx) })
	}
	giving.Wait()
}

// handOver stops deciding about the shard and tells the next home what is known.
func (s *shard) handOver(ctx context.Context) {
	self := s.home.fleet.Self().Name
	successor := ""
	for _, name := range ranked(s.home.fleet.Live(), s.number) {
		if name != self {
			successor = name
			break
		}
	}
	s.mu.Lock()
	if !s.held || successor == "" {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	given := handover{Fence: s.fence, Totals: s.ledger.Totals(false, now), Complete: s.isComplete(now), Basis: s.basis}
	s.reset()
	s.successor = successor
	s.asideUntil = now.Add(s.home.config.StandAside)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := peer.Call(ctx, s.home.dialer, successor, methodTake, given, &done{}); err != nil {
		s.home.logger.WithError(err).WithField("shard", s.number).WithField("successor", successor).Info("shard not handed over")
		return
	}
	s.home.logger.WithField("shard", s.number).WithField("successor", successor).Info("shard handed over")
}

// serveTake takes a shard from a home that leaves.
func (h *Home) serveTake(ctx context.Context, stream peer.Stream) error {
	var given handover
	if err := stream.Recv(&given); err != nil {
		return err
	}
	s := h.shard(given.Fence.Shard)
	<-s.acquiring
	defer func() { s.acquiring <- struct{}{} }()
	if s.holds() {
		return verdict.Refuse(verdict.NotHome, "shard %d is held already", s.number)
	}
	if err := s.acquire(context.WithoutCancel(ctx), &given); err != nil {
		return err
	}
	return stream.Send(done{})
}
