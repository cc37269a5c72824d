package allowance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// journalSet names journals: their identity by the name of their instance. A journal
// that lost its disk has another identity than before.
type journalSet map[string]int64

// count returns how many members of the set are among answered.
func (s journalSet) count(answered journalSet) int {
	found := 0
	for name, id := range s {
		if answered[name] == id {
			found++
		}
	}
	return found
}

// readBy reports whether answered holds enough of the set to find every bridge that
// stands on one journal more than may be lost, or all that is left of the set.
func (s journalSet) readBy(answered journalSet, lost int) bool {
	return s.count(answered) >= len(s)-lost || len(s.outOfReach(answered)) == 0
}

// outOfReach returns the members that did not answer. One that answered with another
// identity has lost its disk.
func (s journalSet) outOfReach(answered journalSet) []string {
	var names []string
	for name := range s {
		if _, ok := answered[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// bridgedBy reports whether answered holds enough of the set to carry a bridge.
func (s journalSet) bridgedBy(answered journalSet, lost int) bool {
	return s.count(answered) > lost
}

// keepers returns the live instances with a journal.
func (h *Home) keepers() []structs.Instance {
	var all []structs.Instance
	for _, instance := range h.fleet.Live() {
		if instance.Duty == structs.DutyKeeper {
			all = append(all, instance)
		}
	}
	return all
}

// isLeaving reports whether a daemon has said that it leaves.
func (h *Home) isLeaving(name string) bool {
	instance, known := h.fleet.Lookup(name)
	return known && instance.State == structs.StateLeaving
}

// fencing is the outcome of fencing a shard in several journals.
type fencing struct {
	fence   journal.Fence
	replies map[string]fenceReply
}

// fromKeeper is what one keeper answered.
type fromKeeper[T any] struct {
	keeper string
	reply  T
	err    error
}

// gather asks several keepers at once. The channel is closed after all have answered
// or the time limit has passed.
func gather[T any](ctx context.Context, limit time.Duration, keepers []structs.Instance, ask func(context.Context, string) (T, error)) <-chan fromKeeper[T] {
	replies := make(chan fromKeeper[T], len(keepers))
	var asked sync.WaitGroup
	for _, keeper := range keepers {
		asked.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			reply, err := ask(ctx, keeper.Name)
			replies <- fromKeeper[T]{keeper: keeper.Name, reply: reply, err: err}
		})
	}
	go func() {
		asked.Wait()
		close(replies)
	}()
	return replies
}

// fenceAll fences a shard in several journals at once. It returns a moment after the
// wanted ones have answered as far as needed.
func (s *shard) fenceAll(ctx context.Context, fence journal.Fence, keepers []structs.Instance, wanted journalSet) fencing {
	f := fencing{fence: fence, replies: map[string]fenceReply{}}
	replies := gather(ctx, s.home.config.FenceTimeout, keepers, func(ctx context.Context, keeper string) (fenceReply, error) {
		var reply fenceReply
		err := peer.Call(ctx, s.home.dialer, keeper, methodFence, fence, &reply)
		return reply, err
	})
	var grace <-chan time.Time
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
		if grace == nil && wanted.readBy(f.accepted(), s.home.config.LostDisks) {
			grace = time.After(s.home.config.FenceGrace)
		}
	}
}

// highest returns the fence with the highest number that stands in the way, the zero
// Fence if there is none.
func (f fencing) highest() journal.Fence {
	var highest journal.Fence
	for _, reply := range f.replies {
		if reply.Held != f.fence && reply.Held.Number >= highest.Number {
			highest = reply.Held
		}
	}
	return highest
}

// accepted returns the journals that took the fence.
func (f fencing) accepted() journalSet {
	set := journalSet{}
	for name, reply := range f.replies {
		if reply.Held == f.fence {
			set[name] = reply.Journal
		}
	}
	return set
}

// former returns the highest number of the fences that were replaced.
func (f fencing) former() int64 {
	var former int64
	for _, reply := range f.replies {
		former = max(former, reply.Before.Number)
	}
	return former
}

// bridge returns what the journals hold of the bridge that was built last, the zero
// Bridge if there is none. It is Whole if any journal holds all of it; the others add
// what has changed since.
func (f fencing) bridge() journal.Replica {
	var found journal.Replica
	newest := map[string]ledger.ProgramTotal{}
	for _, reply := range f.replies {
		b := reply.Bridge
		switch {
		case b.Fence.Number == 0 || b.Fence.Number < found.Fence.Number:
			continue
		case b.Fence.Number > found.Fence.Number:
			found = b
			clear(newest)
		default:
			whole := b.Complete || found.Complete
			if b.Sequence > found.Sequence {
				found = b
			}
			found.Complete = whole
		}
		for _, c := range b.Totals {
			newest[c.Program] = c.Newer(newest[c.Program])
		}
	}
	found.Totals = slices.Collect(maps.Values(newest))
	return found
}

// reviewJournals fences journals that this home has not fenced yet, and chooses those
// that the record is to name.
func (s *shard) reviewJournals(ctx context.Context) {
	keepers := s.home.keepers()
	now := time.Now()
	s.mu.Lock()
	fence := s.fence
	var missing []structs.Instance
	for _, keeper := range keepers {
		if known := s.fenced[keeper.Name]; known.id == 0 || known.incarnation != keeper.Incarnation {
			missing = append(missing, keeper)
		}
	}
	held := s.held
	if s.unable {
		signal(s.bridgeDue)
	}
	s.mu.Unlock()
	if !held {
		return
	}
	var f fencing
	if len(missing) > 0 {
		f = s.fenceAll(ctx, fence, missing, nil)
	}
	if other := f.highest(); other.Number > fence.Number {
		s.noteHighest(other.Number)
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
	// incarnation is the keeper's start at which it was fenced.
	incarnation uint64
	seen        time.Time
}

// noteFenced notes the journals that took the fence. The caller holds mu.
func (s *shard) noteFenced(f fencing, keepers []structs.Instance) {
	for _, keeper := range keepers {
		if id, ok := f.accepted()[keeper.Name]; ok {
			s.fenced[keeper.Name] = fencedJournal{id: id, incarnation: keeper.Incarnation, seen: time.Now()}
		}
	}
}

// chooseJournals chooses the journals that the record is to name: those that are
// fenced, do not leave, and were missing for a short time at most. The caller holds mu.
func (s *shard) chooseJournals(live []structs.Instance, now time.Time) {
	for _, keeper := range live {
		if known, ok := s.fenced[keeper.Name]; ok {
			known.seen = now
			s.fenced[keeper.Name] = known
		}
	}
	wanted := journalSet{}
	for name, known := range s.fenced {
		if s.home.isLeaving(name) {
			continue
		}
		if now.Sub(known.seen) < s.home.config.DropAfter {
			wanted[name] = known.id
		}
	}
	if !maps.Equal(wanted, s.wanted) {
		s.log().WithField("journals", wanted).Info("journals for a bridge chosen")
		s.wanted = wanted
		signal(s.bridgeDue)
	}
}
