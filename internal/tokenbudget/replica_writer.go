package tokenbudget

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/peer"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
)

// replicaState is the state of a home's replica in the journals.
type replicaState struct {
	// journals holds the complete replica, so that writing the changes is enough. It is nil
	// if no set of journals does.
	journals journalSet
	// failingSince is the start of the first failed write in a row, zero after a success.
	failingSince time.Time
	// unreachable is set while the journals do not answer queries either, or writes have failed
	// for StallLimit. Nothing is granted meanwhile.
	unreachable bool
}

// errNoJournalQuorum is returned when too few journals can be reached.
var errNoJournalQuorum = errors.New("too few journals acknowledged the replica")

// runJournalWriter writes the replica to the journals until ctx ends: at once if a turn
// waits for it, else every ReplicaInterval.
func (s *shard) runJournalWriter(ctx context.Context, fence journal.Fence) {
	ticker := timers.NewTicker(s.home.config.ReplicaInterval)
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
			s.journalWriteFailed(ctx, fence, started)
			wake(s.replicaWake)
		}
		if left := wait - time.Since(started); left > 0 && !timers.Sleep(ctx, left) {
			return
		}
	}
}

// quorumSets returns the sets of journals by which a later home may look for the replica.
// That home reads all members of one set but the allowed losses. The caller holds mu.
func (s *shard) quorumSets() []journalSet {
	return append([]journalSet{s.checkpoint.journals}, s.checkpoint.inDoubt...)
}

// otherListed returns the sets of journals that the checkpoint may list and that differ from
// those of the replica. The caller holds mu.
func (s *shard) otherListed(replica journalSet) []map[string]int64 {
	var others []map[string]int64
	for _, set := range s.quorumSets() {
		if len(set) > 0 && !maps.Equal(set, replica) {
			others = append(others, set)
		}
	}
	return others
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
	if s.canReplicate() {
		s.ledger.SetDurability(ledger.RequireJournals)
	} else {
		s.ledger.SetDurability(ledger.RequireCheckpoint)
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
	sequence := s.sequence
	totals := s.ledger.BeginReplication(complete, sequence, time.Now())
	due := complete || len(totals) > 0
	next := journal.Replica{
		Fence: fence, Complete: complete, Sequence: sequence, Journals: wanted, Listed: s.otherListed(wanted),
		Decisions: s.decisions, Totals: totals,
	}
	s.mu.Unlock()
	var acknowledged journalSet
	var err error
	if due {
		acknowledged, err = s.writeToJournals(ctx, next, sets)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsUnder(fence) {
		return errReplaced
	}
	s.ledger.EndReplication(err == nil)
	if complete && (err == nil || wanted.hasWriteQuorum(acknowledged, s.home.config.LostDisks)) {
		// If the listed journals have lost their quorum meanwhile, nothing is granted until the
		// next checkpoint, which holds all totals, lists these instead.
		s.replica.journals = wanted
		s.log().WithField("programs", len(totals)).WithField("journals", wanted).Info("bridge built")
		wake(s.checkpointWake)
	}
	if err != nil {
		return errors.Wrapf(err, "acknowledged by %d of %d selected and %d of %d listed journals",
			wanted.countMatching(acknowledged), len(wanted),
			s.checkpoint.journals.countMatching(acknowledged), len(s.checkpoint.journals))
	}
	if due {
		s.home.replicaWrites.Inc()
	}
	s.replica.failingSince, s.replica.unreachable = time.Time{}, false
	if s.canReplicate() {
		s.storedSequence = sequence
	}
	s.notify()
	return nil
}

// writeToJournals writes to the journals of the sets. It succeeds as soon as enough have
// acknowledged that a later home will find the replica. Changes go to all journals at once. A
// complete replica is large and needed on a quorum only: it goes to a few of the nearest
// journals, and to a further one whenever that is slow or fails, or does not complete the
// quorum of every set: a journal that has lost its disk counts for the new sets only. It
// returns the journals that have acknowledged the write.
func (s *shard) writeToJournals(ctx context.Context, replica journal.Replica, sets []journalSet) (journalSet, error) {
	encoded, err := msgpack.Marshal(replica)
	if err != nil {
		return nil, errors.Wrapf(err, "encode replica of shard %d", s.number)
	}
	acknowledged := journalSet{}
	if s.quorumReached(acknowledged, sets) {
		return acknowledged, nil
	}
	w := &journalWrite{
		shard: s, message: encoded, timeout: s.home.config.JournalWriteTimeout,
		names: s.nearestFirst(sets),
	}
	w.outcomes = make(chan journalOutcome, len(w.names))
	first := len(w.names)
	if replica.Complete {
		w.timeout = s.home.config.ReplicaWriteTimeout
		first = min(first, s.home.config.LostDisks+firstReplicaSpares)
	}
	w.start(ctx, first)
	unreachable := make(chan struct{})
	if replica.Complete {
		probeCtx, stopProbe := context.WithCancel(ctx)
		defer stopProbe()
		go s.probeQuorum(probeCtx, sets, unreachable)
	}
	further := timers.NewTicker(s.home.config.ReplicaWriteStagger)
	defer further.Stop()
	for w.inFlight > 0 {
		select {
		case <-unreachable:
			return acknowledged, errNoJournalQuorum
		case <-further.C:
			w.start(ctx, 1)
		case o := <-w.outcomes:
			w.inFlight--
			done, err := s.applyOutcome(o, replica.Fence, acknowledged)
			if err != nil {
				return acknowledged, err
			}
			if s.quorumReached(acknowledged, sets) {
				return acknowledged, nil
			}
			if !done || w.inFlight == 0 {
				w.start(ctx, 1)
			}
		}
	}
	return acknowledged, errNoJournalQuorum
}

// probeQuorum closes unreachable if the journals do not answer a query after the time limit of
// a small write. They are then cut off, while others may only be slow with a large write.
func (s *shard) probeQuorum(ctx context.Context, sets []journalSet, unreachable chan<- struct{}) {
	if timers.Sleep(ctx, s.home.config.JournalWriteTimeout) && !s.quorumAnswers(ctx, sets) && ctx.Err() == nil {
		close(unreachable)
	}
}

// quorumAnswers reports whether enough journals of every set answer a query.
func (s *shard) quorumAnswers(ctx context.Context, sets []journalSet) bool {
	return s.quorumReached(s.queryFences(ctx, s.home.keepers(), nil).journals, sets)
}

// firstReplicaSpares is the number of journals beyond the allowed losses that get a complete
// replica at once: those of a quorum and one more.
const firstReplicaSpares = 2

// journalWrite is a write in progress to several journals.
type journalWrite struct {
	shard   *shard
	message msgpack.RawMessage
	timeout time.Duration
	// names are the journals that have not been written to yet.
	names    []string
	inFlight int
	outcomes chan journalOutcome
}

// journalOutcome is the outcome of a write to one journal.
type journalOutcome struct {
	name  string
	reply extendReply
	err   error
}

// start writes to the next journals. The writes continue in the background after a quorum has
// acknowledged.
func (w *journalWrite) start(ctx context.Context, count int) {
	count = min(count, len(w.names))
	for _, name := range w.names[:count] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, w.timeout)
			defer cancel()
			o := journalOutcome{name: name}
			o.err = peer.Call(ctx, w.shard.home.dialer, name, methodExtend, w.message, &o.reply)
			w.outcomes <- o
		}()
	}
	w.names = w.names[count:]
	w.inFlight += count
}

// applyOutcome adds a journal that has acknowledged a write. It gives the shard up if another
// home has fenced the journal.
func (s *shard) applyOutcome(o journalOutcome, fence journal.Fence, acknowledged journalSet) (bool, error) {
	switch {
	case o.err != nil:
		s.log().WithError(o.err).WithField("keeper", o.name).Debug("journal did not answer")
		return false, nil
	case o.reply.Refused && o.reply.Held.Number > fence.Number:
		s.giveUp(fence, o.reply.Held.Home, o.reply.Held.Number)
		return false, errReplaced
	case o.reply.Refused:
		s.log().WithField("keeper", o.name).Warn("journal has lost its fence")
		return false, nil
	default:
		acknowledged[o.name] = o.reply.Journal
		return true, nil
	}
}

// nearestFirst returns the members of the sets in random order, those of this daemon's region
// first.
func (s *shard) nearestFirst(sets []journalSet) []string {
	names := journalSet{}
	for _, set := range sets {
		maps.Copy(names, set)
	}
	ordered := slices.Collect(maps.Keys(names))
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	region := s.home.fleet.Self().Region
	distant := func(name string) int {
		if instance, known := s.home.fleet.Lookup(name); known && instance.Region == region {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(ordered, func(a, b string) int { return distant(a) - distant(b) })
	return ordered
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

// journalWriteFailed handles a failed write to the journals that began at started. If writes
// have failed for HandOverAfter and too few journals answer a query, or if they have failed for
// StallLimit whatever the cause, it fails the waiting reservations and hands the shard over to
// another daemon, which may do better. Without the platform the other daemon may not be able to
// start, so this one then keeps the shard until another one takes it.
func (s *shard) journalWriteFailed(ctx context.Context, fence journal.Fence, started time.Time) {
	s.mu.Lock()
	if !s.holdsUnder(fence) {
		s.mu.Unlock()
		return
	}
	if s.replica.failingSince.IsZero() {
		s.replica.failingSince = started
	}
	failingSince, checkpointFailing := s.replica.failingSince, s.checkpoint.failing
	sets := append(s.quorumSets(), s.wantedJournals)
	s.mu.Unlock()
	// Journals that answer a query may only be slow, as they would be for another home.
	limit := s.home.config.HandOverAfter
	if s.quorumAnswers(ctx, sets) {
		limit = s.home.config.StallLimit
	}
	failingFor := time.Since(failingSince)
	if failingFor < limit {
		return
	}
	s.markJournalsUnreachable(fence)
	if !checkpointFailing {
		s.log().WithField("failing_ms", failingFor.Milliseconds()).
			Warn("no journal quorum for the replica, handing the shard over to another daemon")
		// The handover stops the writers of this shard, including the calling goroutine.
		go s.handOver(context.WithoutCancel(ctx))
	}
}

// markJournalsUnreachable makes this home refuse reservations, and answer other daemons that it
// does not decide, until the next successful write to the journals.
func (s *shard) markJournalsUnreachable(fence journal.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdsUnder(fence) {
		s.replica.unreachable = true
		s.writeFailures++
		s.notify()
	}
}
