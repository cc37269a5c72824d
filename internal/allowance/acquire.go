package allowance

import (
	"context"
	"maps"
	"sync"
	"time"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// ensureHeld makes this daemon the home of the shard, unless it is.
func (s *shard) ensureHeld(ctx context.Context) error {
	if s.holds() {
		return nil
	}
	s.acquiring.Lock()
	defer s.acquiring.Unlock()
	if s.holds() {
		return nil
	}
	return s.acquire(ctx)
}

// acquire fences the journals that can be reached, at least one.
func (s *shard) acquire(ctx context.Context) error {
	self := s.home.fleet.Self().Name
	s.mu.Lock()
	number := max(time.Now().UnixMilli(), s.highest+1)
	s.mu.Unlock()
	for range acquireTries {
		fence := journal.Fence{Shard: s.number, Number: number, Home: self}
		replies := s.fenceAll(context.WithoutCancel(ctx), fence, s.home.keepers())
		if highest := highestOther(replies, fence); highest >= number {
			// Somebody was faster, or this clock is behind.
			number = highest + 1
			continue
		}
		if len(replies) == 0 {
			return unwritten(errNoJournal)
		}
		s.take(fence, replies)
		return nil
	}
	return s.notHome()
}

// acquireTries bounds the numbers that are tried in one acquisition.
const acquireTries = 4

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

// take starts the shard anew with what the journals hold.
func (s *shard) take(fence journal.Fence, replies map[string]fenceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	s.held = true
	s.since = time.Now()
	s.fence = fence
	s.successor = ""
	s.highest = fence.Number
	covers := 0
	for keeper, reply := range replies {
		s.journals[keeper] = journalState{fenced: true, born: reply.Born}
		s.ledger.Inherit(reply.Covers)
		covers += len(reply.Covers)
	}
	s.home.fences.Inc()
	s.home.logger.WithField("shard", s.number).WithField("fence", fence.Number).WithField("journals", len(replies)).
		WithField("programs", covers).WithField("certain", s.certain(time.Minute, time.Now())).
		Info("budgets of a shard taken over")
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
	s.acquiring.Lock()
	defer s.acquiring.Unlock()
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
		reply, answered := replies[keeper.Name]
		if !answered {
			continue
		}
		s.note(keeper.Name, reply)
		s.home.logger.WithField("shard", s.number).WithField("keeper", keeper.Name).WithField("programs", len(reply.Covers)).
			Info("journal fenced later")
	}
}

// sortJournals returns the fence in force, and the live keepers whose journals are
// not fenced and those whose journals are.
func (s *shard) sortJournals() (fence journal.Fence, missing, fenced []structs.Instance) {
	keepers := s.home.keepers()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, keeper := range keepers {
		if s.journals[keeper.Name].fenced {
			fenced = append(fenced, keeper)
		} else {
			missing = append(missing, keeper)
		}
	}
	return s.fence, missing, fenced
}

// note takes over what a journal holds that was fenced later than the others. What
// a journal lost since this home decides is in the ledger, so that only what it
// lacked before counts. The caller holds mu.
func (s *shard) note(keeper string, reply fenceReply) {
	known, read := s.journals[keeper]
	born := reply.Born
	if read {
		born = known.born
	} else if time.UnixMilli(born).After(s.since) {
		born = 0
	}
	s.journals[keeper] = journalState{fenced: true, born: born}
	s.ledger.Inherit(reply.Covers)
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

// certain reports whether all that earlier homes wrote down about programs of the
// given lifetime is known here. The caller holds mu.
func (s *shard) certain(lifetime time.Duration, now time.Time) bool {
	if !s.home.fleet.Listed() || len(s.journals) == 0 {
		return false
	}
	for _, instance := range s.home.fleet.Known() {
		if instance.Duty != structs.DutyKeeper {
			continue
		}
		read, known := s.journals[instance.Name]
		if known && time.UnixMilli(read.born).Add(lifetime).Before(now) {
			continue
		}
		if !known && s.home.goneFor(instance.Name, lifetime, now) {
			continue
		}
		return false
	}
	return true
}
