package tokenbudget

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
)

// journalSet maps the names of instances to the identities of their journals. A journal that
// lost its disk gets a new identity.
type journalSet map[string]int64

// countMatching returns how many members of the set are among answered, with the same
// identity.
func (s journalSet) countMatching(answered journalSet) int {
	found := 0
	for name, id := range s {
		if answered[name] == id {
			found++
		}
	}
	return found
}

// readableBy reports whether answered contains enough of the set to find every replica
// stored on one more journal than may be lost, or all members that still have their disk.
func (s journalSet) readableBy(answered journalSet, lost int) bool {
	return s.countMatching(answered) >= len(s)-lost || len(s.unreachable(answered)) == 0
}

// allReadableBy reports whether each of the sets is readable by answered.
func allReadableBy(sets []journalSet, answered journalSet, lost int) bool {
	return !slices.ContainsFunc(sets, func(s journalSet) bool { return !s.readableBy(answered, lost) })
}

// unreachable returns the members that did not answer. A member that answered with another
// identity has lost its disk and does not count.
func (s journalSet) unreachable(answered journalSet) []string {
	var names []string
	for name := range s {
		if _, ok := answered[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// hasWriteQuorum reports whether answered contains enough of the set for a replica to
// survive the allowed losses.
func (s journalSet) hasWriteQuorum(answered journalSet, lost int) bool {
	return s.countMatching(answered) > lost
}

// keepers returns the instances with a journal that are not considered dead. Those that are being
// emptied are among them: they answer, and a checkpoint may still list their journals.
func (h *Home) keepers() []structs.Instance {
	var all []structs.Instance
	for _, instance := range h.fleet.Reachable() {
		if instance.Duty == structs.DutyKeeper {
			all = append(all, instance)
		}
	}
	return all
}

// withoutLeaving returns the journals of a set whose keepers are not leaving. If too few would remain
// for a replica to survive the allowed losses, it returns the whole set: a keeper that is being
// emptied serves until it is not needed any more.
func (h *Home) withoutLeaving(set journalSet) journalSet {
	staying := maps.Clone(set)
	maps.DeleteFunc(staying, func(name string, _ int64) bool { return h.isLeaving(name) })
	if len(staying) <= h.config.LostDisks {
		return set
	}
	return staying
}

// isLeaving reports whether a daemon has announced that it is leaving.
func (h *Home) isLeaving(name string) bool {
	instance, known := h.fleet.Lookup(name)
	return known && instance.State == structs.StateLeaving
}

// fencing is the outcome of fencing a shard in several journals.
type fencing struct {
	fence   journal.Fence
	replies map[string]fenceReply
}

// keeperReply is the reply of one keeper.
type keeperReply[T any] struct {
	keeper string
	reply  T
	err    error
}

// callKeepers calls several keepers in parallel. The channel is closed after all have
// answered or the time limit has passed.
func callKeepers[T any](
	ctx context.Context, limit time.Duration, keepers []structs.Instance, call func(context.Context, string) (T, error),
) <-chan keeperReply[T] {
	replies := make(chan keeperReply[T], len(keepers))
	var calls sync.WaitGroup
	for _, keeper := range keepers {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			reply, err := call(ctx, keeper.Name)
			replies <- keeperReply[T]{keeper: keeper.Name, reply: reply, err: err}
		})
	}
	go func() {
		calls.Wait()
		close(replies)
	}()
	return replies
}

// fenceAll fences a shard in several journals in parallel and reads the totals that known
// does not cover. It returns FenceGrace after enough journals of each wanted set have answered.
func (s *shard) fenceAll(
	ctx context.Context, fence journal.Fence, keepers []structs.Instance, wanted []journalSet, known journal.Known,
) fencing {
	f := fencing{fence: fence, replies: map[string]fenceReply{}}
	replies := callKeepers(ctx, s.home.config.FenceTimeout, keepers,
		func(ctx context.Context, keeper string) (fenceReply, error) {
			var reply fenceReply
			err := peer.Call(ctx, s.home.dialer, keeper, methodFence, fenceRequest{Fence: fence, Known: known}, &reply)
			return reply, err
		})
	var grace <-chan struct{}
	for {
		select {
		case r, open := <-replies:
			if !open {
				return f
			}
			if r.err != nil {
				s.log().WithError(r.err).WithField("keeper", r.keeper).Info("journal not fenced")
				continue
			}
			f.replies[r.keeper] = r.reply
		case <-grace:
			return f
		}
		if grace == nil && allReadableBy(wanted, f.accepted(), s.home.config.LostDisks) {
			grace = timers.After(s.home.config.FenceGrace)
		}
	}
}

// conflicting returns the rejecting fence with the highest number, the zero Fence if there
// is none.
func (f fencing) conflicting() journal.Fence {
	var highest journal.Fence
	for _, reply := range f.replies {
		if reply.Held != f.fence && reply.Held.Number >= highest.Number {
			highest = reply.Held
		}
	}
	return highest
}

// accepted returns the journals that accepted the fence.
func (f fencing) accepted() journalSet {
	set := journalSet{}
	for name, reply := range f.replies {
		if reply.Held == f.fence {
			set[name] = reply.Journal
		}
	}
	return set
}

// previousNumber returns the highest number of the replaced fences.
func (f fencing) previousNumber() int64 {
	var previous int64
	for _, reply := range f.replies {
		previous = max(previous, reply.Previous.Number)
	}
	return previous
}

// newestReplica merges the journals' copies of the replica with the highest fence, the zero
// Replica if there is none. The result is Complete if any copy is; the other copies add
// later changes.
func (f fencing) newestReplica() journal.Replica {
	var found journal.Replica
	newest := map[string]ledger.ProgramTotal{}
	for _, reply := range f.replies {
		replica := reply.Replica
		switch {
		case replica.Fence.Number == 0 || replica.Fence.Number < found.Fence.Number:
			continue
		case replica.Fence.Number > found.Fence.Number:
			found = replica
			clear(newest)
		default:
			complete := replica.Complete || found.Complete
			if replica.Sequence > found.Sequence {
				found = replica
			}
			found.Complete = complete
		}
		for _, total := range replica.Totals {
			newest[total.Program] = total.Newer(newest[total.Program])
		}
	}
	found.Totals = slices.Collect(maps.Values(newest))
	return found
}

// maintainJournals fences journals that this home has not fenced yet, and selects those that
// the checkpoint is to list.
func (s *shard) maintainJournals(ctx context.Context) {
	keepers := s.home.keepers()
	now := time.Now()
	s.mu.Lock()
	fence := s.fence
	var missing []structs.Instance
	for _, keeper := range keepers {
		known := s.fencedJournals[keeper.Name]
		if keeper.State != structs.StateLeaving && (known.id == 0 || known.incarnation != keeper.Incarnation) {
			missing = append(missing, keeper)
		}
	}
	held := s.held
	if s.replica.unreachable {
		wake(s.replicaWake)
	}
	s.mu.Unlock()
	if !held {
		return
	}
	var f fencing
	if len(missing) > 0 {
		// The totals of these journals are not needed: this home has already taken over.
		f = s.fenceAll(ctx, fence, missing, nil, journal.Known{Number: fence.Number + 1})
	}
	if other := f.conflicting(); other.Number > fence.Number {
		s.noteConflictingFence(other.Number)
		s.reacquire(ctx, fence)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held && s.fence == fence {
		s.noteFenced(f, missing)
		s.chooseJournals(keepers, now)
	}
}

// fencedJournal is a journal in which this home has fenced the shard.
type fencedJournal struct {
	id int64
	// incarnation is that of the keeper when the journal was fenced.
	incarnation uint64
	lastSeen    time.Time
}

// noteFenced stores the journals that accepted the fence. The caller holds mu.
func (s *shard) noteFenced(f fencing, keepers []structs.Instance) {
	for _, keeper := range keepers {
		if id, ok := f.accepted()[keeper.Name]; ok {
			s.fencedJournals[keeper.Name] = fencedJournal{id: id, incarnation: keeper.Incarnation, lastSeen: time.Now()}
		}
	}
}

// chooseJournals selects the journals that the checkpoint is to list: those that are fenced and
// missing for less than JournalDropAfter. The caller holds mu.
func (s *shard) chooseJournals(reachable []structs.Instance, now time.Time) {
	for _, keeper := range reachable {
		if known, ok := s.fencedJournals[keeper.Name]; ok {
			known.lastSeen = now
			s.fencedJournals[keeper.Name] = known
		}
	}
	fenced := journalSet{}
	for name, known := range s.fencedJournals {
		if now.Sub(known.lastSeen) < s.home.config.JournalDropAfter {
			fenced[name] = known.id
		}
	}
	wanted := s.home.withoutLeaving(fenced)
	if !maps.Equal(wanted, s.wantedJournals) {
		s.log().WithField("journals", wanted).Info("journals for the replica selected")
		s.wantedJournals = wanted
		wake(s.replicaWake)
	}
}
