package allowance

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/structs"
)

// A home is complete when it knows all that was granted before it. It is so when it
// has read the journals of all keepers that are known, when the former home has
// handed the shard over, or when the shard's record says that the former home had
// no use for the journals that cannot be read. Once complete it stays so: all that
// is granted later it grants itself.

// isComplete reports whether the home is complete. The caller holds mu.
func (s *shard) isComplete(now time.Time) bool {
	if !s.held {
		return false
	}
	if !s.complete {
		s.complete = s.home.fleet.Listed() && len(s.unread(now)) == 0
	}
	return s.complete
}

// unread returns the keepers whose journals may hold something that is not known
// here. A journal that began lately, and one that has been out of reach for less
// than the lifetime of programs, may. The caller holds mu.
func (s *shard) unread(now time.Time) []string {
	lifetime := s.home.config.Lifetime
	var names []string
	for _, instance := range s.home.fleet.Known() {
		if instance.Duty != structs.DutyKeeper {
			continue
		}
		state, known := s.journals[instance.Name]
		if known && !state.lost && time.UnixMilli(state.born).Add(lifetime).Before(now) {
			continue
		}
		if !known && s.home.goneFor(instance.Name, lifetime, now) {
			continue
		}
		names = append(names, instance.Name)
	}
	return names
}

// resolve reads the shard's record, if it may tell what unread journals hold.
func (s *shard) resolve(ctx context.Context, fence journal.Fence) {
	s.mu.Lock()
	open := s.held && s.fence == fence && !s.isComplete(time.Now()) && !s.record.loaded
	s.mu.Unlock()
	if !open {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.home.config.RecordTimeout)
	defer cancel()
	if err := s.loadRecord(ctx, fence); err != nil && !errors.Is(err, errReplaced) {
		s.home.logger.WithError(err).WithField("shard", s.number).Warn("record of budgets not read")
	}
}

// judge takes from the record of the former home which journals it used. The caller
// holds mu.
func (s *shard) judge(held record) {
	if s.complete || held.Journals == nil || held.Fence != s.before {
		return
	}
	for keeper, born := range held.Journals {
		state, read := s.journals[keeper]
		if !read || state.lost || state.born != born {
			return
		}
	}
	s.complete = true
	s.basis = maps.Clone(held.Journals)
	s.home.logger.WithField("shard", s.number).WithField("unread", s.unread(time.Now())).
		Info("unread journals hold nothing, by the record")
}

// rebase writes the totals that stand in a journal which is missing, or was lost,
// to another one, and then notes in the record which journals are in use. The order
// is safe: until the record is written, a later home takes the missing journal for
// one that it needs.
func (s *shard) rebase(ctx context.Context) {
	fence, totals, due := s.planRebase(time.Now())
	if !due {
		return
	}
	if !s.move(ctx, fence, totals) {
		return
	}
	if err := s.writeBasis(ctx, fence); err != nil {
		s.home.logger.WithError(err).WithField("shard", s.number).Info("record does not tell the journals in use yet")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held && s.fence == fence {
		s.basisWritten = true
		s.home.logger.WithField("shard", s.number).WithField("journals", s.basis).WithField("programs", len(totals)).
			Info("totals moved to other journals")
	}
}

// move appends totals to the nearest journal in use.
func (s *shard) move(ctx context.Context, fence journal.Fence, totals []ledger.Cover) bool {
	for _, keeper := range s.nearestJournals() {
		reply, err := s.appendTo(ctx, keeper, fence, totals)
		if err == nil && !reply.Refused {
			return true
		}
	}
	s.home.logger.WithField("shard", s.number).Info("totals not moved to another journal yet")
	return false
}

// planRebase chooses the journals to use from now on, if one in use is missing or
// was lost, and returns the totals to write there.
func (s *shard) planRebase(now time.Time) (journal.Fence, []ledger.Cover, bool) {
	live := map[string]bool{}
	for _, keeper := range s.home.keepers() {
		live[keeper.Name] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isComplete(now) {
		return s.fence, nil, false
	}
	missing := false
	usable := map[string]int64{}
	for keeper, state := range s.journals {
		gone := !live[keeper] && s.home.goneFor(keeper, s.home.config.RebaseAfter, now)
		if s.inBasis(keeper) && (state.lost || gone) {
			missing = true
		}
		if live[keeper] && state.fenced {
			usable[keeper] = state.began
		}
	}
	switch {
	case missing && len(usable) > 0:
		s.useJournals(usable)
	case s.basis == nil || s.basisWritten:
		return s.fence, nil, false
	}
	return s.fence, s.ledger.Totals(true, now), true
}

// useJournals makes usable the journals in use. The caller holds mu.
func (s *shard) useJournals(usable map[string]int64) {
	for keeper := range usable {
		state := s.journals[keeper]
		state.lost = false
		s.journals[keeper] = state
	}
	s.basis = usable
	s.basisWritten = false
	s.moves++
}

// inBasis reports whether a journal is in use. The caller holds mu.
func (s *shard) inBasis(keeper string) bool {
	_, used := s.basis[keeper]
	return s.basis == nil || used
}
