package allowance

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/objectapi"
)

// recordState is what a home knows of its record.
type recordState struct {
	// known is set while version is that of the object, as far as known here.
	known   bool
	version int64
	// journals are those that the record names. After a write in doubt it may
	// name others too.
	journals journalSet
	doubtful []journalSet
	// began is the start of the write under way, zero without one, and failing is
	// set while writes fail or take too long.
	began   time.Time
	failing bool
}

// Errors of the writers.
var (
	errReplaced  = errors.New("another home wrote the record")
	errUnwritten = errors.New("neither record nor bridge could be written")
)

// keepRecord writes the record until ctx ends: soon if a turn waits for it, else at
// its interval.
func (s *shard) keepRecord(ctx context.Context, fence journal.Fence) {
	ticker := time.NewTicker(s.home.config.RecordInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.recordDue:
		case <-ticker.C:
			if !s.recordLacks() {
				continue
			}
		}
		started := time.Now()
		err := s.writeRecord(ctx, fence)
		wait := s.home.config.RecordGap - time.Since(started)
		if err != nil && !errors.Is(err, errReplaced) && ctx.Err() == nil {
			s.log().WithError(err).Info("record of budgets not written")
			wait = s.home.config.RecordRetry
		}
		if wait > 0 && !sleep(ctx, wait) {
			return
		}
		if err != nil {
			signal(s.recordDue)
		}
	}
}

// sleep waits for d and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// recordLacks reports whether something is to be written.
func (s *shard) recordLacks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held && (s.ledger.Dirty() || s.record.failing || !s.record.known || !maps.Equal(s.record.journals, s.proposal()))
}

// proposal returns the journals that the record is to name: others only once the
// bridge stands on them, and the old ones know of that. The caller holds mu.
func (s *shard) proposal() journalSet {
	if s.bridge.on == nil {
		return s.record.journals
	}
	return s.bridge.on
}

// writeRecord writes the present totals.
func (s *shard) writeRecord(ctx context.Context, fence journal.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.RecordTimeout)
	defer cancel()
	s.mu.Lock()
	s.record.began = time.Now()
	s.mu.Unlock()
	if err := s.rereadRecord(ctx, fence); err != nil {
		s.recordFailed(fence)
		return err
	}
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return errReplaced
	}
	journals := s.proposal()
	covers, most := s.ledger.BeginCheckpoint(time.Now())
	expected := s.record.version
	s.sequence++
	next := record{Epoch: fence.Number, Home: fence.Home, Basis: fence.Number, Sequence: s.sequence, Most: most, Journals: journals}
	s.mu.Unlock()

	next.set(covers)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := s.home.store.Put(ctx, recordKey(s.number), value, expected)
	s.noteWritten(fence, version, journals, err)
	return err
}

// noteWritten takes the outcome of a write.
func (s *shard) noteWritten(fence journal.Fence, version int64, journals journalSet, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return
	}
	s.record.began = time.Time{}
	switch {
	case err == nil:
		s.ledger.EndCheckpoint(ledger.Written)
		s.unable = false
		s.record = recordState{known: true, version: version, journals: journals}
		s.home.records.Inc()
		s.notify()
	case errors.Is(err, objectapi.ErrConflict):
		// Another home, or an earlier write of this one that was in doubt.
		s.ledger.EndCheckpoint(ledger.NotWritten)
		s.record.known = false
	case errors.Is(err, objectapi.ErrUnavailable):
		s.ledger.EndCheckpoint(ledger.NotWritten)
		s.record.failing = true
	default:
		s.ledger.EndCheckpoint(ledger.InDoubt)
		s.record.known = false
		s.record.failing = true
		s.record.doubtful = append(s.record.doubtful, journals)
	}
}

// recordFailed notes that the record could not be reached.
func (s *shard) recordFailed(fence journal.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdsUnder(fence) {
		s.record.began = time.Time{}
		s.record.failing = true
		s.notify()
	}
}

// recordIsLate notes that a write takes too long, so that turns go on by the bridge.
func (s *shard) recordIsLate(fence journal.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := !s.record.began.IsZero() && time.Since(s.record.began) >= s.home.config.BridgeAfter
	if s.holdsUnder(fence) && late && !s.record.failing {
		s.record.failing = true
		s.log().Info("record of budgets is late, turns go on by the bridge")
		s.notify()
	}
}

// rereadRecord reads the object unless its version is known. Another home's epoch
// ends the right to decide. A version that has not changed leaves an earlier write in
// doubt, which may still come to pass until the next one succeeds.
func (s *shard) rereadRecord(ctx context.Context, fence journal.Fence) error {
	s.mu.Lock()
	known := s.record.known
	s.mu.Unlock()
	if known {
		return nil
	}
	held, version, err := decodeRecord(s.home.store.Get(ctx, recordKey(s.number)))
	if err != nil {
		return err
	}
	if held.Epoch > fence.Number || (held.Epoch == fence.Number && held.Home != fence.Home) {
		s.drop(fence, held.Home, held.Epoch)
		return errReplaced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return errReplaced
	}
	if version != s.record.version {
		s.ledger.ReloadCheckpoint(held.covers(time.Now()), held.Most)
		s.record.journals, s.record.doubtful = held.Journals, nil
	}
	s.record.known, s.record.version = true, version
	return nil
}
