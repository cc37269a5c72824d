package allowance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// ensureHeld makes this daemon the home of the shard, unless it is or another one
// is; then it returns the name of that one.
func (s *shard) ensureHeld(ctx context.Context) (string, error) {
	if s.holds() {
		return "", nil
	}
	<-s.acquiring
	defer func() { s.acquiring <- struct{}{} }()
	if s.holds() {
		return "", nil
	}
	ctx = context.WithoutCancel(ctx)
	if holder := s.otherHolder(ctx); holder != "" {
		s.standAside(holder)
		return holder, nil
	}
	return "", s.acquire(ctx, nil)
}

// otherHolder returns a live daemon that decides about the shard, "" if there is
// none as far as one journal tells. A daemon that has just started would otherwise
// take over from one that knows more.
func (s *shard) otherHolder(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.FenceTimeout)
	defer cancel()
	self := s.home.fleet.Self()
	keepers := s.home.keepers()
	slices.SortStableFunc(keepers, func(a, b structs.Instance) int { return remoteness(self, a) - remoteness(self, b) })
	for _, keeper := range keepers {
		var held journal.Fence
		if err := peer.Call(ctx, s.home.dialer, keeper.Name, methodHolder, shardRequest{Shard: s.number}, &held); err != nil {
			continue
		}
		if held.Home == "" || held.Home == self.Name || !s.home.isLive(held.Home) {
			return ""
		}
		var reply holdsReply
		if err := peer.Call(ctx, s.home.dialer, held.Home, methodHolds, shardRequest{Shard: s.number}, &reply); err != nil || !reply.Holds {
			return ""
		}
		return held.Home
	}
	return ""
}

// standAside sends requests about the shard to another home for a while.
func (s *shard) standAside(home string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor = home
	s.asideUntil = time.Now().Add(s.home.config.StandAside)
}

// isLive reports whether a daemon is taken to be alive and not leaving.
func (h *Home) isLive(name string) bool {
	return slices.ContainsFunc(h.fleet.Live(), func(i structs.Instance) bool { return i.Name == name })
}

// acquireTries bounds the numbers that are tried in one acquisition.
const acquireTries = 4

// acquire fences the journals that can be reached, at least one. Handed is what the
// former home said on leaving, nil if it did not.
func (s *shard) acquire(ctx context.Context, handed *handover) error {
	s.mu.Lock()
	number := max(time.Now().UnixMilli(), s.highest+1)
	s.mu.Unlock()
	if handed != nil {
		number = max(number, handed.Fence.Number+1)
	}
	for range acquireTries {
		fence := journal.Fence{Shard: s.number, Number: number, Home: s.home.fleet.Self().Name}
		replies := s.fenceAll(ctx, fence, s.home.keepers())
		if highest := highestOther(replies, fence); highest >= number {
			// Somebody was faster, or this clock is behind.
			number = highest + 1
			continue
		}
		if len(replies) == 0 {
			return unwritten(errNoJournal)
		}
		s.take(fence, replies, handed)
		s.resolve(ctx, fence)
		return nil
	}
	return s.notHome()
}

// highestOther returns the highest number among fences that stand in the way.
func highestOther(replies map[string]fenceReply, fence journal.Fence) int64 {
	var highest int64
	for _, reply := range replies {
		if reply.Held != fence {
			highest = max(highest, reply.Held.Number)
		}
	}
	return highest
}

// take starts the shard anew with what the journals hold, or with what the former
// home has handed over, if no other came between.
func (s *shard) take(fence journal.Fence, replies map[string]fenceReply, handed *handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	s.held = true
	s.since = time.Now()
	s.fence = fence
	s.successor = ""
	s.highest = fence.Number
	s.known = map[string]bool{}
	for _, instance := range s.home.fleet.Known() {
		s.known[instance.Name] = true
	}
	for keeper, reply := range replies {
		s.journals[keeper] = journalState{
			fenced: true, born: reply.Born, began: reply.Born, incarnation: s.home.incarnation(keeper),
		}
		s.before = max(s.before, reply.Before.Number)
	}
	direct := handed != nil && s.before <= handed.Fence.Number
	if direct {
		s.ledger.Inherit(handed.Totals)
		s.complete = handed.Complete
		s.basis = handed.Basis
	}
	if !direct || !handed.Complete {
		for _, reply := range replies {
			s.ledger.Inherit(reply.Covers)
		}
	}
	for keeper, reply := range replies {
		s.home.logger.WithField("shard", s.number).WithField("keeper", keeper).WithField("programs", len(reply.Covers)).
			WithField("born", reply.Born).WithField("before", reply.Before.Number).Info("journal fenced")
	}
	s.home.fences.Inc()
	s.home.logger.WithField("shard", s.number).WithField("fence", fence.Number).WithField("journals", len(replies)).
		WithField("handed_over", direct).WithField("complete", s.isComplete(time.Now())).Info("budgets of a shard taken over")
}

// fenceAll fences a shard in several journals at once and returns the replies.
func (s *shard) fenceAll(ctx context.Context, fence journal.Fence, keepers []structs.Instance) map[string]fenceReply {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.FenceTimeout)
	defer cancel()
	var mu sync.Mutex
	var asked sync.WaitGroup
	replies := map[string]fenceReply{}
	for _, keeper := range keepers {
		asked.Go(func() {
			var reply fenceReply
			if err := peer.Call(ctx, s.home.dialer, keeper.Name, methodFence, fence, &reply); err != nil {
				s.home.logger.WithError(err).WithField("keeper", keeper.Name).WithField("shard", s.number).Info("journal not fenced")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[keeper.Name] = reply
		})
	}
	asked.Wait()
	return replies
}

// fenceMissing fences the journals that are not, and takes over what they hold. An
// empty journal accepts any home, also one that was replaced long ago; so a journal
// that is fenced already has to confirm that this is still the home.
func (s *shard) fenceMissing(ctx context.Context) {
	<-s.acquiring
	defer func() { s.acquiring <- struct{}{} }()
	fence, missing, fenced := s.sortJournals()
	if len(missing) == 0 {
		return
	}
	replies := s.fenceAll(ctx, fence, fenced)
	if len(replies) == 0 && len(fenced) > 0 {
		return
	}
	maps.Copy(replies, s.fenceAll(ctx, fence, missing))
	for _, reply := range replies {
		if reply.Held != fence {
			s.drop(fence, reply.Held.Home, reply.Held.Number)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || s.fence != fence {
		return
	}
	for _, keeper := range missing {
		if reply, answered := replies[keeper.Name]; answered {
			s.note(keeper, reply)
		}
	}
}

// sortJournals returns the fence in force, and the live keepers whose journals are
// not fenced and those whose journals are. A keeper that has started again may have
// lost its disk, and has to be fenced anew. Without the shard it returns none.
func (s *shard) sortJournals() (fence journal.Fence, missing, fenced []structs.Instance) {
	keepers := s.home.keepers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held {
		return s.fence, nil, nil
	}
	for _, keeper := range keepers {
		state := s.journals[keeper.Name]
		if state.fenced && state.incarnation == keeper.Incarnation {
			fenced = append(fenced, keeper)
		} else {
			missing = append(missing, keeper)
		}
	}
	return s.fence, missing, fenced
}

// note takes over what a journal holds that was fenced later than the others. One
// that had this home's fence and has it no more has lost what was written to it. The
// caller holds mu.
func (s *shard) note(keeper structs.Instance, reply fenceReply) {
	known, read := s.journals[keeper.Name]
	next := journalState{fenced: true, born: reply.Born, began: reply.Born, incarnation: keeper.Incarnation}
	if read && reply.Before.Number != s.fence.Number {
		next.lost = true
	}
	if read {
		next.lost = next.lost || known.lost
		next.born = known.born
	} else if !s.known[keeper.Name] && time.UnixMilli(reply.Born).After(s.since) {
		// It came after this home, so that it lacks nothing of before.
		next.born = 0
	}
	s.journals[keeper.Name] = next
	if reply.Before.Number != s.fence.Number {
		s.ledger.Inherit(reply.Covers)
	}
	s.home.logger.WithField("shard", s.number).WithField("keeper", keeper.Name).WithField("programs", len(reply.Covers)).
		WithField("lost", next.lost).Info("journal fenced later")
}

// keepers returns the live daemons with a journal.
func (h *Home) keepers() []structs.Instance {
	var all []structs.Instance
	for _, instance := range h.fleet.Live() {
		if instance.Duty == structs.DutyKeeper {
			all = append(all, instance)
		}
	}
	return all
}

// incarnation returns that of a live keeper.
func (h *Home) incarnation(name string) uint64 {
	for _, keeper := range h.keepers() {
		if keeper.Name == name {
			return keeper.Incarnation
		}
	}
	return 0
}

// reviewKeepers notes since when keepers have been missing.
func (h *Home) reviewKeepers(now time.Time) {
	live := map[string]bool{}
	for _, keeper := range h.keepers() {
		live[keeper.Name] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, instance := range h.fleet.Known() {
		if instance.Duty != structs.DutyKeeper {
			continue
		}
		if live[instance.Name] {
			delete(h.missing, instance.Name)
		} else if _, noted := h.missing[instance.Name]; !noted {
			h.missing[instance.Name] = now
		}
	}
}

// goneFor reports whether a keeper has been missing for at least d.
func (h *Home) goneFor(name string, d time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, missing := h.missing[name]
	return missing && now.Sub(since) >= d
}
