package tokenbudget

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/journal"
)

// checkpointState is a home's view of its checkpoint.
type checkpointState struct {
	// known is set while version is believed to be that of the object.
	known   bool
	version int64
	// journals are those that the checkpoint lists. After writes in doubt it may list those
	// in inDoubt instead.
	journals journalSet
	inDoubt  []journalSet
	// failing is set while writes fail.
	failing bool
}

// Errors of the writers.
var (
	errReplaced   = errors.New("checkpoint was written by another home")
	errNotDurable = errors.New("the journals cannot be reached")
)

// runCheckpointWriter writes the checkpoint until ctx ends: at once if a turn waits for it or
// if it lists other journals than those that hold the replica, else every CheckpointInterval.
func (s *shard) runCheckpointWriter(ctx context.Context, fence journal.Fence) {
	ticker := timers.NewTicker(s.home.config.CheckpointInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.checkpointWake:
		case <-ticker.C:
			if !s.checkpointOutdated() {
				continue
			}
		}
		started := time.Now()
		err := s.writeCheckpoint(ctx, fence)
		wait := s.home.config.CheckpointMinGap - time.Since(started)
		if err != nil && !errors.Is(err, errReplaced) && ctx.Err() == nil {
			s.log().WithError(err).Info("record of budgets not written")
			wait = s.home.config.CheckpointRetryDelay
		}
		if wait > 0 && !timers.Sleep(ctx, wait) {
			return
		}
		if err != nil {
			wake(s.checkpointWake)
		}
	}
}

// checkpointOutdated reports whether the checkpoint has to be written again.
func (s *shard) checkpointOutdated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held && (s.ledger.Dirty() || s.checkpoint.failing || !s.checkpoint.known ||
		!maps.Equal(s.checkpoint.journals, s.journalsToList()))
}

// journalsToList returns the journals that the next checkpoint lists. It switches to a new
// set only after the complete replica has been stored on both the new and the old set. The
// caller holds mu.
func (s *shard) journalsToList() journalSet {
	if s.replica.journals == nil {
		return s.checkpoint.journals
	}
	return s.replica.journals
}

// writeCheckpoint writes the current totals.
func (s *shard) writeCheckpoint(ctx context.Context, fence journal.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.CheckpointTimeout)
	defer cancel()
	if err := s.reloadCheckpoint(ctx, fence); err != nil {
		s.checkpointFailed(fence)
		return err
	}
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return errReplaced
	}
	journals := s.journalsToList()
	totals := s.ledger.BeginCheckpoint(time.Now())
	expected := s.checkpoint.version
	s.sequence++
	next := checkpoint{
		Epoch: fence.Number, Home: fence.Home, ContentEpoch: fence.Number, Sequence: s.sequence,
		Decisions: s.decisions, Journals: journals,
	}
	s.mu.Unlock()

	next.setTotals(totals)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := s.home.store.Put(ctx, checkpointKey(s.number), value, expected)
	s.endCheckpoint(fence, version, next.Sequence, journals, err)
	return err
}

// endCheckpoint applies the outcome of a checkpoint write.
func (s *shard) endCheckpoint(fence journal.Fence, version, sequence int64, journals journalSet, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return
	}
	s.ledger.EndCheckpoint(err == nil)
	switch {
	case err == nil:
		s.checkpoint = checkpointState{known: true, version: version, journals: journals}
		s.home.checkpoints.Inc()
		if !s.canReplicate() {
			s.storedSequence = sequence
		}
		s.notify()
	case errors.Is(err, objectapi.ErrConflict):
		// Written by another home, or by an earlier write of this one that was in doubt.
		s.checkpoint.known = false
	case errors.Is(err, objectapi.ErrUnavailable):
		s.checkpoint.failing = true
	default:
		s.checkpoint.known = false
		s.checkpoint.failing = true
		s.checkpoint.inDoubt = append(s.checkpoint.inDoubt, journals)
	}
}

// checkpointFailed marks the checkpoint as unreachable.
func (s *shard) checkpointFailed(fence journal.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdsUnder(fence) {
		s.checkpoint.failing = true
		s.notify()
	}
}

// reloadCheckpoint reads the object unless its version is known. A higher epoch of another
// home means that this one was replaced. If the version has not changed, an earlier write
// stays in doubt: it may still be applied until the next write succeeds.
func (s *shard) reloadCheckpoint(ctx context.Context, fence journal.Fence) error {
	s.mu.Lock()
	known := s.checkpoint.known
	s.mu.Unlock()
	if known {
		return nil
	}
	current, version, err := decodeCheckpoint(s.home.store.Get(ctx, checkpointKey(s.number)))
	if err != nil {
		return err
	}
	if current.Epoch > fence.Number || (current.Epoch == fence.Number && current.Home != fence.Home) {
		s.giveUp(fence, current.Home, current.Epoch)
		return errReplaced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return errReplaced
	}
	if version != s.checkpoint.version {
		s.ledger.ReloadCheckpoint(current.totals(time.Now()))
		s.checkpoint.journals, s.checkpoint.inDoubt = current.Journals, nil
	}
	s.checkpoint.known, s.checkpoint.version = true, version
	return nil
}
