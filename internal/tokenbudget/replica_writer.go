package tokenbudget

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/peer"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
)

// replicaState is the state of a home's replica in the journals.
type replicaState struct {
	// journals holds the complete replica, so that writing the changes is enough. It is nil
	// if no set of journals does.
	journals journalSet
	// failingSince is the time of the first failed write in a row, zero after a success.
	failingSince time.Time
}

// errNoJournalQuorum is returned when too few journals can be reached.
var errNoJournalQuorum = errors.New("too few journals acknowledged the replica")

// runJournalWriter writes the replica to the journals until ctx ends: at once if a turn
// waits for it, else every CheckpointInterval.
func (s *shard) runJournalWriter(ctx context.Context, fence journal.Fence) {
	ticker := time.NewTicker(s.home.config.CheckpointInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.replicaWake:
		case <-ticker.C:
		}
		started := time.Now()
		wait := s.home.config.JournalWriteMinGap
		if err := s.replicate(ctx, fence); err != nil && ctx.Err() == nil {
			s.log().WithError(err).Info("replica not written to the journals")
			s.journalWriteFailed(ctx, fence)
			wake(s.replicaWake)
		}
		if left := wait - time.Since(started); left > 0 && !sleep(ctx, left) {
			return
		}
	}
}

// quorumSets returns the sets of journals by which a later home may look for the replica.
// That home reads all members of one set but the allowed losses. The caller holds mu.
func (s *shard) quorumSets() []journalSet {
	return append([]journalSet{s.checkpoint.journals}, s.checkpoint.inDoubt...)
}

// canReplicate reports whether there are enough journals for a replica. The caller holds mu.
func (s *shard) canReplicate() bool {
	for _, set := range s.quorumSets() {
		if len(set) <= s.home.config.LostDisks {
			return false
		}
	}
	return true
}

// setDurability selects where totals must be stored before they are granted. The caller
// holds mu.
func (s *shard) setDurability() {
	switch {
	case !s.canReplicate():
		s.ledger.SetDurability(ledger.RequireCheckpoint)
	case s.checkpoint.failing:
		s.ledger.SetDurability(ledger.RequireJournals)
	default:
		s.ledger.SetDurability(ledger.RequireBoth)
	}
}

// replicate writes the changes since the last write to the journals, or all totals if the
// selected set of journals has changed.
func (s *shard) replicate(ctx context.Context, fence journal.Fence) error {
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return errReplaced
	}
	sets := append(s.quorumSets(), s.wantedJournals)
	wanted := s.wantedJournals
	complete := s.replica.journals == nil || !maps.Equal(wanted, s.replica.journals)
	s.sequence++
	totals := s.ledger.BeginReplication(complete, s.sequence, time.Now())
	next := journal.Replica{
		Fence: fence, Complete: complete, Sequence: s.sequence, Journals: wanted,
		MaxTurnTokens: s.ledger.MaxTurnTokens(), Totals: totals,
	}
	s.mu.Unlock()
	var err error
	if complete || len(totals) > 0 {
		err = s.writeToJournals(ctx, next, sets)
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
	if complete {
		s.replica.journals = wanted
		s.log().WithField("programs", len(totals)).WithField("journals", wanted).Info("bridge built")
	}
	if len(totals) > 0 {
		s.home.replicaWrites.Inc()
	}
	s.replica.failingSince = time.Time{}
	s.writesFailing = false
	s.notify()
	return nil
}

// writeToJournals writes to all journals of the sets in parallel. It succeeds as soon as
// enough have acknowledged that a later home will find the replica.
func (s *shard) writeToJournals(ctx context.Context, replica journal.Replica, sets []journalSet) error {
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
	var calls sync.WaitGroup
	for name := range names {
		calls.Go(func() {
			// Continues in the background after a quorum has acknowledged.
			ctx, cancel := context.WithTimeout(ctx, s.home.config.JournalWriteTimeout)
			defer cancel()
			o := outcome{name: name}
			o.err = peer.Call(ctx, s.home.dialer, name, methodExtend, replica, &o.reply)
			outcomes <- o
		})
	}
	go func() {
		calls.Wait()
		close(outcomes)
	}()
	acknowledged := journalSet{}
	if s.quorumReached(acknowledged, sets) {
		return nil
	}
	for o := range outcomes {
		switch {
		case o.err != nil:
			s.log().WithError(o.err).WithField("keeper", o.name).Debug("journal did not answer")
		case o.reply.Refused && o.reply.Held.Number > replica.Fence.Number:
			s.giveUp(replica.Fence, o.reply.Held.Home, o.reply.Held.Number)
			return errReplaced
		case o.reply.Refused:
			s.log().WithField("keeper", o.name).Warn("journal has lost its fence")
		default:
			acknowledged[o.name] = o.reply.Journal
		}
		if s.quorumReached(acknowledged, sets) {
			return nil
		}
	}
	return errNoJournalQuorum
}

// quorumReached reports whether enough journals of every set have acknowledged a write. Sets
// too small for a replica are ignored.
func (s *shard) quorumReached(acknowledged journalSet, sets []journalSet) bool {
	for _, set := range sets {
		if len(set) > s.home.config.LostDisks && !set.hasWriteQuorum(acknowledged, s.home.config.LostDisks) {
			return false
		}
	}
	return true
}

// journalWriteFailed fails the waiting reservations if the checkpoint cannot be written
// either. If only the journals have failed for HandOverAfter, it hands the shard over to
// another daemon, which may reach more journals.
func (s *shard) journalWriteFailed(ctx context.Context, fence journal.Fence) {
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if s.replica.failingSince.IsZero() {
		s.replica.failingSince = now
	}
	if s.checkpoint.failing {
		s.writeFailures++
		s.writesFailing = true
		s.notify()
	}
	handOver := !s.checkpoint.failing && now.Sub(s.replica.failingSince) >= s.home.config.HandOverAfter
	s.mu.Unlock()
	if handOver {
		s.log().Warn("no journal quorum for the replica, handing the shard over to another daemon")
		// The handover stops the writers of this shard, including the calling goroutine.
		go s.handOver(context.WithoutCancel(ctx))
	}
}
