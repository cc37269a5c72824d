package allowance

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/peer"
)

// bridgeState is what a home knows of its bridge.
type bridgeState struct {
	// on are the journals on which all of it stands, so that what has changed
	// since is enough; nil while there are none.
	on journalSet
	// failing is the time since when it could not be written.
	failing time.Time
}

// errNoBridge is returned when too few journals can be reached.
var errNoBridge = errors.New("too few journals for a bridge")

// keepBridge writes the bridge until ctx ends: soon if a turn waits for it, else at
// its interval.
func (s *shard) keepBridge(ctx context.Context, fence journal.Fence) {
	ticker := time.NewTicker(s.home.config.RecordInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.bridgeDue:
		case <-ticker.C:
		}
		started := time.Now()
		wait := s.home.config.BridgeGap
		if err := s.extendBridge(ctx, fence); err != nil && ctx.Err() == nil {
			s.log().WithError(err).Info("bridge not written")
			s.bridgeFailed(ctx, fence)
			signal(s.bridgeDue)
		}
		if left := wait - time.Since(started); left > 0 && !sleep(ctx, left) {
			return
		}
	}
}

// sets returns the journals by which a later home may look for the bridge: it reads
// all but the allowed losses of one of them. The caller holds mu.
func (s *shard) sets() []journalSet {
	return append([]journalSet{s.record.journals}, s.record.doubtful...)
}

// possible reports whether there are enough journals for a bridge. The caller holds mu.
func (s *shard) possible() bool {
	for _, set := range s.sets() {
		if len(set) <= s.home.config.LostDisks {
			return false
		}
	}
	return true
}

// setRule chooses where totals have to stand before they are granted. The caller
// holds mu.
func (s *shard) setRule() {
	switch {
	case !s.possible():
		s.ledger.SetDurability(ledger.RequireCheckpoint)
	case s.record.failing:
		s.ledger.SetDurability(ledger.RequireJournals)
	default:
		s.ledger.SetDurability(ledger.RequireBoth)
	}
}

// extendBridge writes what the journals lack, or everything when others have been
// chosen.
func (s *shard) extendBridge(ctx context.Context, fence journal.Fence) error {
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return errReplaced
	}
	sets := append(s.sets(), s.wanted)
	wanted := s.wanted
	whole := s.bridge.on == nil || !maps.Equal(wanted, s.bridge.on)
	s.sequence++
	covers := s.ledger.BeginReplication(whole, s.sequence, time.Now())
	next := journal.Replica{
		Fence: fence, Complete: whole, Sequence: s.sequence, Journals: wanted, MaxTurnTokens: s.ledger.MaxTurnTokens(), Totals: covers,
	}
	s.mu.Unlock()
	var err error
	if whole || len(covers) > 0 {
		err = s.writeBridge(ctx, next, sets)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return errReplaced
	}
	s.ledger.EndReplication(err == nil)
	if err != nil {
		return err
	}
	if whole {
		s.bridge.on = wanted
		s.log().WithField("programs", len(covers)).WithField("journals", wanted).Info("bridge built")
	}
	if len(covers) > 0 {
		s.home.bridges.Inc()
	}
	s.bridge.failing = time.Time{}
	s.unable = false
	s.notify()
	return nil
}

// writeBridge writes to all journals of the sets at once. It succeeds when so many
// have taken it that a later home finds it.
func (s *shard) writeBridge(ctx context.Context, b journal.Replica, sets []journalSet) error {
	names := journalSet{}
	for _, set := range sets {
		for name := range set {
			names[name] = 0
		}
	}
	type outcome struct {
		name  string
		reply extendReply
		err   error
	}
	outcomes := make(chan outcome, len(names))
	var asked sync.WaitGroup
	for name := range names {
		asked.Go(func() {
			// It goes on after enough others have taken it.
			ctx, cancel := context.WithTimeout(ctx, s.home.config.ExtendTimeout)
			defer cancel()
			o := outcome{name: name}
			o.err = peer.Call(ctx, s.home.dialer, name, methodExtend, b, &o.reply)
			outcomes <- o
		})
	}
	go func() {
		asked.Wait()
		close(outcomes)
	}()
	taken := journalSet{}
	if s.enough(taken, sets) {
		return nil
	}
	for o := range outcomes {
		switch {
		case o.err != nil:
			s.log().WithError(o.err).WithField("keeper", o.name).Debug("journal did not answer")
		case o.reply.Refused && o.reply.Held.Number > b.Fence.Number:
			s.drop(b.Fence, o.reply.Held.Home, o.reply.Held.Number)
			return errReplaced
		case o.reply.Refused:
			s.log().WithField("keeper", o.name).Warn("journal has lost its fence")
		default:
			taken[o.name] = o.reply.Journal
		}
		if s.enough(taken, sets) {
			return nil
		}
	}
	return errNoBridge
}

// enough reports whether every set can carry the bridge on the journals that took it.
// Sets that are too small carry none.
func (s *shard) enough(taken journalSet, sets []journalSet) bool {
	for _, set := range sets {
		if len(set) > s.home.config.LostDisks && !set.bridgedBy(taken, s.home.config.LostDisks) {
			return false
		}
	}
	return true
}

// bridgeFailed lets the reservations that wait give up if the record cannot be
// written either, and leaves the shard to another daemon, which may reach more
// journals, if the bridge has failed for a while.
func (s *shard) bridgeFailed(ctx context.Context, fence journal.Fence) {
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if s.bridge.failing.IsZero() {
		s.bridge.failing = now
	}
	if s.record.failing {
		s.failures++
		s.unable = true
		s.notify()
	}
	stuck := !s.record.failing && now.Sub(s.bridge.failing) >= s.home.config.StuckAfter
	s.mu.Unlock()
	if stuck {
		s.log().Warn("bridge cannot be written here, leaving the shard to another daemon")
		// The writers of this shard end with the handover, this one too.
		go s.handOver(context.WithoutCancel(ctx))
	}
}
