package tokenbudget

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// maxAcquireAttempts limits the attempts of one acquisition.
const maxAcquireAttempts = 4

// Errors of an acquisition.
var (
	errTooFewJournals  = errors.New("too few of the journals listed in the checkpoint are reachable")
	errNoCheckpoint    = errors.New("neither the checkpoint nor a complete replica in the journals can be read")
	errAcquireConflict = errors.New("another daemon is acquiring the shard at the same time")
	errLeaving         = errors.New("this daemon is leaving")
	errNoDaemonList    = errors.New("the list of daemons has not been read from the platform yet")
)

// ensureHeld makes this daemon the home of the shard unless it already is. If another daemon
// is the home, it returns that daemon's name. Concurrent callers share one acquisition.
// Skipped lists the daemons that precede this one for the shard and did not answer.
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
		return "", shardNotAcquired(ctx.Err())
	}
}

// acquireOnce acquires the shard on behalf of all waiting callers. It runs to completion
// even if all of them have given up.
func (s *shard) acquireOnce(skipped []string) (string, error) {
	ctx := s.home.ctx
	timers.Sleep(ctx, s.acquireDelay(skipped))
	<-s.acquiring
	defer func() { s.acquiring <- struct{}{} }()
	if s.holds() {
		return "", nil
	}
	a := newAcquisition(nil, skipped)
	holder, err := s.acquire(ctx, a)
	entry := s.log().WithFields(a.fields())
	if err != nil {
		entry.WithError(err).Info("budgets of a shard not taken over")
		return "", shardNotAcquired(err)
	}
	if holder != "" {
		entry.WithField("home", holder).Info("shard of budgets already has another home")
		s.mu.Lock()
		s.redirectTo(holder)
		s.mu.Unlock()
	}
	return holder, nil
}

// acquireDelay returns how long to wait for the daemons that precede this one in the shard's
// order. Without the delay daemons would compete for the shard after a restart of the whole
// fleet, when each may know of itself only.
func (s *shard) acquireDelay(skipped []string) time.Duration {
	before := 0
	self := s.home.fleet.Self().Name
	for _, name := range rankByHash(s.home.fleet.Live(), s.number) {
		if name == self {
			break
		}
		if !slices.Contains(skipped, name) {
			before++
		}
	}
	return time.Duration(min(before, maxAcquireDelaySteps)) * s.home.config.AcquireStagger
}

// maxAcquireDelaySteps limits the preceding daemons that are waited for.
const maxAcquireDelaySteps = 3

// shardNotAcquired returns the refusal of a reservation on a shard that this daemon cannot
// acquire. The caller may retry with another daemon.
func shardNotAcquired(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, verdict.PeerLost, "the shard of budgets cannot be taken over here")
}

// acquireRefusal returns the answer to a home whose shard this daemon has not taken over.
func acquireRefusal(cause error) error {
	if errors.Is(cause, errLeaving) {
		return verdict.Refuse(verdict.Stopping, "this daemon is leaving")
	}
	return shardNotAcquired(cause)
}

// acquire makes this daemon the home, starting from the checkpoint, or from the replica in
// the journals while the platform is unreachable. If another daemon already decides about
// the shard, it returns that daemon's name.
func (s *shard) acquire(ctx context.Context, a *acquisition) (string, error) {
	timeout := s.home.config.CheckpointReadTimeout
	for range maxAcquireAttempts {
		if s.home.leaving.Load() {
			return "", errLeaving
		}
		if offered := s.takeOffer(); offered != nil && (a.handed == nil || a.handed.Fence.Number < offered.Fence.Number) {
			a.handed = offered
		}
		a.attempts++
		current, version, err := s.readCheckpoint(ctx, timeout)
		a.endStep("read")
		if errors.Is(err, objectapi.ErrUnavailable) {
			holder, failure := s.acquireFromJournals(ctx, a)
			if !errors.Is(failure, errNoCheckpoint) || timeout == s.home.config.CheckpointTimeout {
				return holder, failure
			}
			// No replica to start from: the platform may only be slow, so retry the read
			// with a longer timeout.
			timeout = s.home.config.CheckpointTimeout
			continue
		}
		if err != nil {
			return "", err
		}
		if !s.home.fleet.Listed() {
			return "", errNoDaemonList
		}
		if !a.handed.supersedes(current) && s.incumbentDecides(ctx, a, current.incumbent(s.number), s.readIncumbent) {
			return a.incumbent, nil
		}
		if s.hasOffer() {
			// The state of the leaving home has arrived meanwhile.
			continue
		}
		err = s.acquireFromCheckpoint(ctx, current, version, a)
		if !errors.Is(err, errAcquireConflict) {
			return "", err
		}
	}
	return "", errAcquireConflict
}

// readIncumbent returns the home that the checkpoint names, with its activity in the journals,
// to which a home writes more often.
func (s *shard) readIncumbent(ctx context.Context) (incumbent, error) {
	current, _, err := s.readCheckpoint(ctx, s.home.config.CheckpointReadTimeout)
	if err != nil {
		return incumbent{}, err
	}
	named, seen := current.incumbent(s.number), s.queryFences(ctx, s.home.keepers(), current.Journals)
	if inJournals := seen.incumbent(); inJournals.activity.fence == named.activity.fence {
		inJournals.activity.decisions = max(inJournals.activity.decisions, named.activity.decisions)
		return inJournals, nil
	}
	return named, nil
}

// supersedes reports whether the handed-over state is newer than a checkpoint: no other home
// has decided in between.
func (h *handover) supersedes(c checkpoint) bool {
	return h != nil && c.Epoch == h.Fence.Number && c.Home == h.Fence.Home
}

// known returns the totals that need not be read from the journals: those that the
// checkpoint holds, or all up to the home that handed its own over.
func (h *handover) known(c checkpoint) journal.Known {
	if h.supersedes(c) {
		return journal.Known{Number: h.Fence.Number + 1}
	}
	return journal.Known{Number: c.ContentEpoch, Sequence: c.Sequence}
}

// readCheckpoint reads the shard's checkpoint and the version of its object.
func (s *shard) readCheckpoint(ctx context.Context, timeout time.Duration) (checkpoint, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return decodeCheckpoint(s.home.store.Get(ctx, checkpointKey(s.number)))
}

// acquireFromCheckpoint claims the checkpoint by a conditional write under its version,
// which only one daemon can win, and then fences the journals that it lists. From then on
// the previous home's next checkpoint write fails, and so do its writes to the journals.
// Totals in the journals that are newer than the checkpoint take precedence. ContentEpoch
// keeps naming the home that wrote the content until the next full checkpoint.
func (s *shard) acquireFromCheckpoint(ctx context.Context, current checkpoint, version int64, a *acquisition) error {
	keepers := s.home.keepers()
	queried := make(chan fenceStatus, 1)
	go func() { queried <- s.queryFences(ctx, keepers, current.Journals) }()
	idle, idleVersion, err := s.readIdleCheckpoint(ctx)
	a.endStep("read_idle")
	seen := <-queried
	a.endStep("query")
	if err != nil {
		return err
	}
	if !s.journalsSuffice(current.Journals, seen.journals) {
		// Claiming without enough journals would only disrupt the present home.
		return errTooFewJournals
	}
	s.mu.Lock()
	number := max(current.Epoch, s.highestFence, seen.fence.Number) + 1
	fence := journal.Fence{Shard: s.number, Number: number, Home: s.home.fleet.Self().Name}
	s.mu.Unlock()
	claim := current
	claim.Epoch, claim.Home = fence.Number, fence.Home
	if len(claim.Journals) == 0 {
		claim.Journals = s.home.withoutLeaving(seen.journals)
	}
	claimed, err := s.putCheckpoint(ctx, claim, version)
	a.endStep("claim")
	if err != nil {
		return err
	}
	s.setClaiming(true)
	defer s.setClaiming(false)
	f := s.fenceAll(ctx, fence, keepers, []journalSet{current.Journals}, a.handed.known(current))
	a.endStep("fence")
	if other := f.conflicting(); other.Number >= fence.Number {
		s.noteConflictingFence(other.Number)
		return errAcquireConflict
	}
	if !s.journalsSuffice(current.Journals, f.accepted()) {
		return errTooFewJournals
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	s.restoreLedger(current, idle, f.newestReplica(), a.handed)
	a.endStep("restore")
	s.idleCheckpoint = idleCheckpointState{known: true, version: idleVersion}
	s.checkpoint = checkpointState{known: true, version: claimed, journals: claim.Journals}
	s.startDeciding(a, fence, f, keepers)
	s.log().WithFields(a.fields()).WithField("fence", fence.Number).WithField("programs", s.ledger.Len()).
		WithField("handed_over", a.handed.supersedes(current)).WithField("journals", len(f.accepted())).
		Info("budgets of a shard taken over")
	return nil
}

// restoreLedger fills the ledger with the totals stored by earlier homes, or with those
// handed over by the previous home if no other home has decided since. The caller holds mu.
func (s *shard) restoreLedger(current, idle checkpoint, replica journal.Replica, handed *handover) {
	exact := handed.supersedes(current) && replica.Fence.Number <= handed.Fence.Number
	now := time.Now()
	s.ledger = s.newLedger(exact)
	s.ledger.Restore(idle.totals(now), ledger.FromIdleCheckpoint)
	s.ledger.Restore(current.totals(now), ledger.FromCheckpoint)
	if exact {
		s.ledger.RestoreHandover(handed.Totals)
		return
	}
	s.ledger.Restore(current.newerTotals(replica, idle), ledger.FromJournals)
}

// newLedger returns the ledger for a takeover with the exact totals, or with those that are stored.
func (s *shard) newLedger(exact bool) *ledger.Ledger {
	doubtUntil := time.Now().Add(s.home.config.ReleaseWait)
	if exact {
		return ledger.New(doubtUntil)
	}
	return ledger.NewAfterLoss(doubtUntil)
}

// setClaiming sets whether this daemon has claimed the shard and is taking it over.
func (s *shard) setClaiming(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claiming = on
}

// journalsSuffice reports whether enough of the listed journals were fenced. After
// JournalWaitLimit unreachable journals are ignored, as the totals that they may hold have
// expired by then.
func (s *shard) journalsSuffice(listed, fenced journalSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed.readableBy(fenced, s.home.config.LostDisks) {
		s.quorumLostAt = time.Time{}
		return true
	}
	now := time.Now()
	if s.quorumLostAt.IsZero() {
		s.quorumLostAt = now
	}
	if now.Sub(s.quorumLostAt) < s.home.config.JournalWaitLimit {
		return false
	}
	s.log().WithField("journals", listed.unreachable(fenced)).Error("unreachable journals ignored after the wait limit")
	s.quorumLostAt = time.Time{}
	return true
}

// putCheckpoint replaces the checkpoint if its object still has the expected version. After
// a write with unknown outcome it reads the object to find out whether the write took
// effect.
func (s *shard) putCheckpoint(ctx context.Context, next checkpoint, expected int64) (int64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.home.config.CheckpointTimeout)
	defer cancel()
	version, err := s.home.store.Put(ctx, checkpointKey(s.number), value, expected)
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		return 0, errAcquireConflict
	case !errors.Is(err, objectapi.ErrUnknown):
		return version, err
	}
	// If the write is applied later than this read, the next conditional write fails on the
	// changed version.
	found, version, err := s.readCheckpoint(ctx, s.home.config.CheckpointTimeout)
	if err == nil && (found.Epoch != next.Epoch || found.Home != next.Home) {
		return 0, errAcquireConflict
	}
	return version, err
}

// noteConflictingFence stores the number of a fence that rejected this daemon's.
func (s *shard) noteConflictingFence(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestFence = max(s.highestFence, number)
}

// startDeciding makes this daemon the home under a fence and starts the writers. The caller
// holds mu and has set the rest of the state.
func (s *shard) startDeciding(a *acquisition, fence journal.Fence, f fencing, keepers []structs.Instance) {
	s.held = true
	if a.handed != nil {
		s.handedBy = a.handed.Fence
	}
	s.fence = fence
	s.successor = ""
	s.highestFence = max(s.highestFence, fence.Number)
	s.noteFenced(f, keepers)
	s.wantedJournals = s.home.withoutLeaving(f.accepted())
	s.home.takeovers.Inc()
	ctx, stop := context.WithCancel(s.home.ctx)
	s.stop = stop
	s.home.spawn(func() { s.runCheckpointWriter(ctx, fence) })
	s.home.spawn(func() { s.runJournalWriter(ctx, fence) })
	s.home.spawn(func() { s.runIdleWriter(ctx, fence) })
}

// acquireFromJournals takes the shard over while the platform is unreachable: from the state
// that a leaving home handed over, or from the replica in the journals. It fences the
// journals only if enough of them to start from have answered, so that a home that works
// without them, or a daemon that reaches more of them, is not disrupted.
func (s *shard) acquireFromJournals(ctx context.Context, a *acquisition) (string, error) {
	handed := a.handed
	keepers := s.home.keepers()
	seen := s.queryFences(ctx, keepers, nil)
	a.endStep("query")
	handedOver := handed != nil && handed.Journals != nil && seen.fence == handed.Fence
	switch {
	case !handedOver && s.incumbentDecides(ctx, a, seen.incumbent(), func(ctx context.Context) (incumbent, error) {
		return s.queryFences(ctx, keepers, nil).incumbent(), nil
	}):
		return a.incumbent, nil
	case !handedOver && seen.replica.Fence.Number == 0:
		return "", errNoCheckpoint
	case !handedOver && !s.replicaReadable(seen.replica, seen.journals):
		return "", errTooFewJournals
	}
	s.mu.Lock()
	fence := journal.Fence{
		Shard: s.number, Number: max(seen.fence.Number, s.highestFence) + 1, Home: s.home.fleet.Self().Name,
	}
	s.mu.Unlock()
	wanted := replicaSets(seen.replica)
	if handedOver {
		wanted = []journalSet{handed.Journals}
	}
	s.setClaiming(true)
	defer s.setClaiming(false)
	f := s.fenceAll(ctx, fence, keepers, wanted, journal.Known{})
	a.endStep("fence")
	if other := f.conflicting(); other.Number >= fence.Number {
		s.noteConflictingFence(other.Number)
		return "", errAcquireConflict
	}
	if handedOver && f.previousNumber() == handed.Fence.Number {
		from := journal.Replica{Journals: handed.Journals, Totals: handed.Totals}
		return "", s.startFromReplica(a, fence, f, keepers, from, true)
	}
	found := f.newestReplica()
	if !found.Complete || len(found.Journals) <= s.home.config.LostDisks {
		// The last home may have granted turns based on other journals or the checkpoint alone.
		return "", errNoCheckpoint
	}
	return "", s.startFromReplica(a, fence, f, keepers, found, false)
}

// replicaReadable reports whether enough journals have answered to find every replica that is
// as new as the given one or newer.
func (s *shard) replicaReadable(replica journal.Replica, answered journalSet) bool {
	return s.journalsSuffice(replica.Journals, answered) &&
		allReadableBy(replicaSets(replica)[1:], answered, s.home.config.LostDisks)
}

// replicaSets returns the sets of journals by which replicas as new as the given one are found:
// its own, and those that the checkpoint listed when it was written.
func replicaSets(replica journal.Replica) []journalSet {
	sets := []journalSet{replica.Journals}
	for _, listed := range replica.Listed {
		sets = append(sets, listed)
	}
	return sets
}

// startFromReplica starts deciding from a replica, or from the exact totals of a handover. The replica may be older than the fence in
// force: a daemon that fenced the journals later and has not stored its own replica on a
// quorum of them has granted nothing. This home grants nothing either until its replica is
// stored on the same journals, because later homes look for it there.
func (s *shard) startFromReplica(
	a *acquisition, fence journal.Fence, f fencing, keepers []structs.Instance, from journal.Replica, exact bool,
) error {
	if !s.replicaReadable(from, f.accepted()) {
		return errTooFewJournals
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	s.ledger = s.newLedger(exact)
	s.ledger.Restore(from.Totals, ledger.FromJournals)
	s.checkpoint = checkpointState{journals: from.Journals, failing: true}
	s.startDeciding(a, fence, f, keepers)
	s.log().WithFields(a.fields()).WithField("fence", fence.Number).WithField("programs", len(from.Totals)).
		Info("budgets of a shard taken over without their record")
	return nil
}

// fenceStatus is the state of a shard in the journals, read without fencing it.
type fenceStatus struct {
	// fence is the highest fence found, and replica the newest replica without its totals.
	fence    journal.Fence
	replica  journal.Replica
	journals journalSet
}

// queryFences asks the journals for the fence in force. If wanted is not empty, it returns
// FenceGrace after enough of those journals have answered.
func (s *shard) queryFences(ctx context.Context, keepers []structs.Instance, wanted journalSet) fenceStatus {
	found := fenceStatus{journals: journalSet{}}
	replies := callKeepers(ctx, s.home.config.QueryTimeout, keepers,
		func(ctx context.Context, keeper string) (holderReply, error) {
			var reply holderReply
			err := peer.Call(ctx, s.home.dialer, keeper, methodHolder, shardRequest{Shard: s.number}, &reply)
			return reply, err
		})
	var grace <-chan struct{}
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
		if grace == nil && len(wanted) > 0 && wanted.readableBy(found.journals, s.home.config.LostDisks) {
			grace = timers.After(s.home.config.FenceGrace)
		}
	}
}

// add merges the answer of one journal.
func (f *fenceStatus) add(keeper string, reply holderReply) {
	f.journals[keeper] = reply.Journal
	if reply.Fence.Number > f.fence.Number {
		f.fence = reply.Fence
	}
	if reply.Replica.NewerThan(f.replica) {
		f.replica = reply.Replica
	}
}
