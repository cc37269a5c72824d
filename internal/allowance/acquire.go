package allowance

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// acquireTries bounds the attempts of one acquisition.
const acquireTries = 4

// Errors of an acquisition.
var (
	errJournals = errors.New("too few of the journals on record can be reached")
	errNoRecord = errors.New("neither the record nor a bridge in its place can be read")
	errContest  = errors.New("other daemons acquire the shard at the same time")
	errNotReady = errors.New("the list of daemons is not known yet")
)

// ensureHeld makes this daemon the home of the shard, unless it is or another one
// is; then it returns the name of that one. Callers at the same time share the
// outcome. Skipped names daemons that come first for the shard and did not answer.
func (s *shard) ensureHeld(ctx context.Context, skipped []string) (string, error) {
	if s.holds() {
		return "", nil
	}
	outcome := s.flight.DoChan("", func() (any, error) { return s.acquireOnce(skipped) })
	select {
	case o := <-outcome:
		holder, _ := o.Val.(string)
		return holder, o.Err
	case <-ctx.Done():
		return "", unacquired(ctx.Err())
	}
}

// acquireOnce acquires the shard for all callers that wait. What was begun is ended,
// also if they have left.
func (s *shard) acquireOnce(skipped []string) (string, error) {
	ctx := s.home.ctx
	sleep(ctx, s.stagger(skipped))
	<-s.acquiring
	defer func() { s.acquiring <- struct{}{} }()
	if s.holds() {
		return "", nil
	}
	started := time.Now()
	holder, err := s.acquire(ctx, nil)
	entry := s.log().WithField("took_ms", time.Since(started).Milliseconds())
	if err != nil {
		entry.WithError(err).Info("budgets of a shard not taken over")
		return "", unacquired(err)
	}
	if holder != "" {
		entry.WithField("home", holder).Info("budgets of a shard have another home")
		s.mu.Lock()
		s.standAside(holder)
		s.mu.Unlock()
	}
	return holder, nil
}

// stagger is the time for which daemons that come first for the shard are left to
// acquire it: after a restart of the whole fleet each may know of itself only.
func (s *shard) stagger(skipped []string) time.Duration {
	before := 0
	self := s.home.fleet.Self().Name
	for _, name := range byHash(s.home.fleet.Live(), s.number) {
		if name == self {
			break
		}
		if !slices.Contains(skipped, name) {
			before++
		}
	}
	return time.Duration(min(before, maxStaggers)) * s.home.config.AcquireStagger
}

// maxStaggers bounds the daemons that one waits for.
const maxStaggers = 3

// unacquired refuses a reservation that this daemon cannot decide; another may.
func unacquired(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, verdict.PeerLost, "the shard of budgets cannot be taken over here")
}

// acquire makes this daemon the home by way of the record, or of a bridge while the
// platform cannot be reached. It returns another daemon that decides already. Handed
// is what the former home said on leaving, nil if it did not.
func (s *shard) acquire(ctx context.Context, handed *handover) (string, error) {
	patience := s.home.config.AcquireTimeout
	for range acquireTries {
		held, version, err := s.getRecord(ctx, patience)
		if errors.Is(err, objectapi.ErrUnavailable) {
			holder, failure := s.acquireWithoutRecord(ctx, handed)
			if !errors.Is(failure, errNoRecord) || patience == s.home.config.RecordTimeout {
				return holder, failure
			}
			// The platform may just be slow.
			patience = s.home.config.RecordTimeout
			continue
		}
		if err != nil {
			return "", err
		}
		if !s.home.fleet.Listed() {
			return "", errNotReady
		}
		if !handed.follows(held) && s.decides(ctx, held.Home) {
			return held.Home, nil
		}
		err = s.acquireByRecord(ctx, held, version, handed)
		if !errors.Is(err, errContest) {
			return "", err
		}
	}
	return "", errContest
}

// follows reports whether what was handed over is newer than a record, and nobody has
// decided in between.
func (h *handover) follows(r record) bool {
	return h != nil && r.Epoch == h.Fence.Number && r.Home == h.Fence.Home
}

// getRecord reads the shard's record.
func (s *shard) getRecord(ctx context.Context, patience time.Duration) (record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return decodeRecord(s.home.store.Get(ctx, recordKey(s.number)))
}

// decides reports whether another daemon is live and decides about the shard. One
// that has just started would otherwise take over from one that knows more.
func (s *shard) decides(ctx context.Context, home string) bool {
	if home == "" || home == s.home.fleet.Self().Name || !s.home.isLive(home) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.home.config.AskTimeout)
	defer cancel()
	var reply holdsReply
	err := peer.Call(ctx, s.home.dialer, home, methodHolds, shardRequest{Shard: s.number}, &reply)
	return err == nil && reply.Holds
}

// isLive reports whether a daemon is taken to be alive and not leaving.
func (h *Home) isLive(name string) bool {
	return slices.ContainsFunc(h.fleet.Live(), func(i structs.Instance) bool { return i.Name == name })
}

// acquireByRecord claims the record under its version, which only one daemon can, and
// then fences the journals that it names. The former home's next write to the record
// fails, and it can write no bridge any more. What the journals hold beyond the record
// counts; the record keeps saying whose content it has until it is written anew.
func (s *shard) acquireByRecord(ctx context.Context, held record, version int64, handed *handover) error {
	idle, idleVersion, err := s.readIdle(ctx)
	if err != nil {
		return err
	}
	keepers := s.home.keepers()
	seen := s.askHolders(ctx, keepers, held.Journals)
	if !s.readable(held.Journals, seen.journals) {
		// A claim that comes to nothing would only disturb the present home.
		return errJournals
	}
	s.mu.Lock()
	number := max(held.Epoch, s.highest, seen.fence.Number) + 1
	fence := journal.Fence{Shard: s.number, Number: number, Home: s.home.fleet.Self().Name}
	s.mu.Unlock()
	claim := held
	claim.Epoch, claim.Home = fence.Number, fence.Home
	if len(claim.Journals) == 0 {
		claim.Journals = seen.journals
	}
	claimed, err := s.putRecord(ctx, claim, version)
	if err != nil {
		return err
	}
	s.setClaiming(true)
	defer s.setClaiming(false)
	f := s.fenceAll(ctx, fence, keepers, held.Journals)
	if other := f.highest(); other.Number >= fence.Number {
		s.noteHighest(other.Number)
		return errContest
	}
	if !s.readable(held.Journals, f.accepted()) {
		return errJournals
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	s.inherit(held, idle, f.bridge(), handed)
	s.idle = idleState{known: true, version: idleVersion}
	s.record = recordState{known: true, version: claimed, journals: claim.Journals}
	s.begin(fence, f, keepers)
	s.log().WithField("fence", fence.Number).WithField("programs", s.ledger.Len()).
		WithField("handed_over", handed.follows(held)).WithField("journals", len(f.accepted())).
		Info("budgets of a shard taken over")
	return nil
}

// inherit fills the ledger with what earlier homes wrote down, and with what the former
// one has handed over if nobody has decided since. The caller holds mu.
func (s *shard) inherit(held, idle record, bridge journal.Replica, handed *handover) {
	direct := handed.follows(held) && bridge.Fence.Number <= handed.Fence.Number
	hidden := max(held.Most, bridge.MaxTurnTokens)
	if direct {
		hidden = 0
	}
	now := time.Now()
	s.ledger = ledger.New(hidden, held.Most)
	s.ledger.Restore(idle.covers(now), ledger.FromIdleCheckpoint)
	s.ledger.Restore(held.covers(now), ledger.FromCheckpoint)
	if direct {
		s.ledger.RestoreHandover(handed.Totals)
		return
	}
	s.ledger.Restore(held.lacks(bridge, idle), ledger.FromJournals)
}

// setClaiming notes whether this daemon has claimed the shard and is taking it over.
func (s *shard) setClaiming(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claiming = on
}

// readable reports whether enough of the journals on record were fenced. Journals that
// stay away are given up after a while, as what they may hold has then expired.
func (s *shard) readable(onRecord, fenced journalSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if onRecord.readBy(fenced, s.home.config.LostDisks) {
		s.blocked = time.Time{}
		return true
	}
	now := time.Now()
	if s.blocked.IsZero() {
		s.blocked = now
	}
	if now.Sub(s.blocked) < s.home.config.JournalPatience {
		return false
	}
	s.log().WithField("journals", onRecord.outOfReach(fenced)).Error("journals given up")
	s.blocked = time.Time{}
	return true
}

// putRecord writes a record under the version of the one that it replaces, and finds
// out whether it took effect.
func (s *shard) putRecord(ctx context.Context, next record, expected int64) (int64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.home.config.RecordTimeout)
	defer cancel()
	version, err := s.home.store.Put(ctx, recordKey(s.number), value, expected)
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		return 0, errContest
	case !errors.Is(err, objectapi.ErrUnknown):
		return version, err
	}
	// A write that comes to pass later finds the object changed by the next one.
	found, version, err := s.getRecord(ctx, s.home.config.RecordTimeout)
	if err == nil && (found.Epoch != next.Epoch || found.Home != next.Home) {
		return 0, errContest
	}
	return version, err
}

// noteHighest notes the number of a fence that stands in the way.
func (s *shard) noteHighest(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highest = max(s.highest, number)
}

// begin starts to decide. The caller holds mu and has set the rest of the state.
func (s *shard) begin(fence journal.Fence, f fencing, keepers []structs.Instance) {
	s.held = true
	s.fence = fence
	s.successor = ""
	s.highest = max(s.highest, fence.Number)
	s.noteFenced(f, keepers)
	s.wanted = f.accepted()
	s.home.fences.Inc()
	ctx, stop := context.WithCancel(s.home.ctx)
	s.stop = stop
	s.home.spawn(func() { s.keepRecord(ctx, fence) })
	s.home.spawn(func() { s.keepBridge(ctx, fence) })
	s.home.spawn(func() { s.keepIdle(ctx, fence) })
}

// acquireWithoutRecord takes the shard over while the platform cannot be reached:
// from a home that leaves and says what it knows, or from one that has built a bridge.
// The journals are fenced only if there seems to be one, so that a home that needs
// none is not disturbed.
func (s *shard) acquireWithoutRecord(ctx context.Context, handed *handover) (string, error) {
	keepers := s.home.keepers()
	seen := s.askHolders(ctx, keepers, nil)
	bridged := seen.fence.Number != 0 && seen.bridged == seen.fence
	given := handed != nil && handed.Journals != nil && seen.fence == handed.Fence
	switch {
	case !given && s.decides(ctx, seen.fence.Home):
		return seen.fence.Home, nil
	case !given && !bridged:
		return "", errNoRecord
	}
	s.mu.Lock()
	fence := journal.Fence{Shard: s.number, Number: max(seen.fence.Number, s.highest) + 1, Home: s.home.fleet.Self().Name}
	s.mu.Unlock()
	f := s.fenceAll(ctx, fence, keepers, nil)
	if other := f.highest(); other.Number >= fence.Number {
		s.noteHighest(other.Number)
		return "", errContest
	}
	if given && f.former() == handed.Fence.Number {
		from := journal.Replica{Journals: handed.Journals, MaxTurnTokens: handed.Most, Totals: handed.Totals}
		return "", s.takeByBridge(fence, f, keepers, from, 0)
	}
	found := f.bridge()
	if !found.Complete || found.Fence.Number != f.former() || len(found.Journals) <= s.home.config.LostDisks {
		// A home in between may have granted turns by other journals.
		return "", errNoRecord
	}
	return "", s.takeByBridge(fence, f, keepers, found, found.MaxTurnTokens)
}

// takeByBridge begins to decide from what a bridge holds. Nothing is granted before
// the own bridge stands: whoever comes later looks for it on the same journals.
func (s *shard) takeByBridge(fence journal.Fence, f fencing, keepers []structs.Instance, from journal.Replica, hidden int) error {
	if !s.readable(from.Journals, f.accepted()) {
		return errJournals
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	s.ledger = ledger.New(hidden, from.MaxTurnTokens)
	s.ledger.Restore(from.Totals, ledger.FromJournals)
	s.record = recordState{journals: from.Journals, failing: true}
	s.begin(fence, f, keepers)
	s.log().WithField("fence", fence.Number).WithField("programs", len(from.Totals)).
		Info("budgets of a shard taken over without their record")
	return nil
}

// holders is what journals say of a shard without being fenced.
type holders struct {
	// fence is the highest, and bridged that under which the last bridge was
	// written.
	fence    journal.Fence
	bridged  journal.Fence
	journals journalSet
}

// askHolders asks journals for the fence in force. It returns a moment after the wanted
// ones have answered as far as needed, if any are given.
func (s *shard) askHolders(ctx context.Context, keepers []structs.Instance, wanted journalSet) holders {
	found := holders{journals: journalSet{}}
	replies := gather(ctx, s.home.config.AskTimeout, keepers, func(ctx context.Context, keeper string) (holderReply, error) {
		var reply holderReply
		err := peer.Call(ctx, s.home.dialer, keeper, methodHolder, shardRequest{Shard: s.number}, &reply)
		return reply, err
	})
	var grace <-chan time.Time
	for {
		select {
		case r, open := <-replies:
			if !open {
				return found
			}
			if r.err == nil {
				found.add(r.keeper, r.reply)
			}
		case <-grace:
			return found
		}
		if grace == nil && len(wanted) > 0 && wanted.readBy(found.journals, s.home.config.LostDisks) {
			grace = time.After(s.home.config.FenceGrace)
		}
	}
}

// add takes what one journal says.
func (h *holders) add(keeper string, reply holderReply) {
	h.journals[keeper] = reply.Journal
	if reply.Fence.Number > h.fence.Number {
		h.fence = reply.Fence
	}
	if reply.Bridge.Fence.Number > h.bridged.Number {
		h.bridged = reply.Bridge.Fence
	}
}
