package tokenbudget

import (
	"context"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget/journal"
)

// incumbent is the daemon that the checkpoint or the journals name as the home of a shard,
// with what they tell about its activity.
type incumbent struct {
	home string
	// claiming is set while the daemon has claimed the shard and has written nothing since.
	claiming bool
	activity activity
}

// activity changes whenever a home has stored further decisions. Comparing two readings
// needs no clock of the home.
type activity struct {
	fence     journal.Fence
	decisions int64
	sequence  int64
}

// incumbent returns the home that a checkpoint names.
func (c checkpoint) incumbent(shard int) incumbent {
	return incumbent{
		home: c.Home, claiming: c.Epoch != c.ContentEpoch,
		activity: activity{fence: journal.Fence{Shard: shard, Number: c.Epoch, Home: c.Home}, decisions: c.Decisions},
	}
}

// incumbent returns the home whose fence is in force in the journals.
func (f fenceStatus) incumbent() incumbent {
	return incumbent{
		home: f.fence.Home, claiming: f.replicaFence != f.fence,
		activity: activity{fence: f.fence, sequence: f.replicaSequence},
	}
}

// incumbentDecides reports whether the incumbent decides about the shard, so that this
// daemon must not take it over. A daemon that does not answer counts as dead only if it has
// also stored no decision for SilenceLimit, or ClaimLimit if it has just claimed the shard:
// a home is slowest to answer right after a takeover, and replacing it then would only make
// its successor as slow. Read returns the present incumbent.
func (s *shard) incumbentDecides(
	ctx context.Context, a *acquisition, first incumbent, read func(context.Context) (incumbent, error),
) bool {
	defer a.endStep("ask")
	a.incumbent, a.incumbentState, a.incumbentAnswer = first.home, s.home.stateOf(first.home), ""
	if first.home == "" || first.home == s.home.fleet.Self().Name || first.activity == a.silent {
		return false
	}
	known, silentSince := first, time.Now()
	for refusals, changes := 0, 0; s.home.isReachable(first.home); {
		reply := s.askIncumbent(ctx, first.home)
		a.incumbentAnswer = reply.answer
		switch reply.answer {
		case answerHolds:
			return true
		case answerHandsOver:
			if reply.successor != s.home.fleet.Self().Name {
				a.incumbent = reply.successor
				return true
			}
			s.awaitOffer(ctx)
			return false
		case answerHoldsNot:
			return false
		case answerRefused:
			refusals++
		}
		if refusals == maxRefusals || ctx.Err() != nil {
			return false
		}
		if present, err := read(ctx); err == nil && present.activity != known.activity {
			if present.home != first.home {
				// Another daemon has taken the shard over. The claim of this one will fail on
				// the changed checkpoint.
				return false
			}
			known, silentSince = present, time.Now()
			changes++
		}
		if changes == minChanges {
			a.incumbentAnswer = answerActive
			return true
		}
		if time.Since(silentSince) >= s.silenceLimit(known) || !sleep(ctx, incumbentPollPause) {
			a.silent = known.activity
			return false
		}
	}
	return false
}

// silenceLimit returns how long an incumbent may be silent before it counts as dead.
func (s *shard) silenceLimit(i incumbent) time.Duration {
	if i.claiming {
		return s.home.config.ClaimLimit
	}
	return s.home.config.SilenceLimit
}

const (
	// incumbentPollPause is the pause between two questions to an incumbent.
	incumbentPollPause = 20 * time.Millisecond
	// maxRefusals is the number of refused connections after which an incumbent counts as
	// dead: no process listens at its address.
	maxRefusals = 2
	// minChanges is the number of times that an incumbent must store decisions to count as
	// alive: a home that is cut off from the fleet stores once more what it had decided before.
	minChanges = 2
)

// Answers of an incumbent, as logged.
const (
	answerHolds     = "holds"
	answerHoldsNot  = "does not hold"
	answerHandsOver = "hands over"
	answerNone      = "none"
	answerRefused   = "connection refused"
	answerActive    = "none, but stores decisions"
)

// incumbentReply is the answer of an incumbent, and its successor if it is handing the shard
// over.
type incumbentReply struct{ answer, successor string }

// askIncumbent asks a daemon whether it decides about the shard.
func (s *shard) askIncumbent(ctx context.Context, home string) incumbentReply {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.QueryTimeout)
	defer cancel()
	var reply holdsReply
	err := peer.Call(ctx, s.home.dialer, home, methodHolds, shardRequest{Shard: s.number}, &reply)
	switch {
	case err == nil && reply.Holds:
		return incumbentReply{answer: answerHolds}
	case err == nil && reply.Successor != "" && s.home.isReachable(reply.Successor):
		return incumbentReply{answer: answerHandsOver, successor: reply.Successor}
	case err == nil:
		return incumbentReply{answer: answerHoldsNot}
	case ctx.Err() == nil:
		return incumbentReply{answer: answerRefused}
	default:
		return incumbentReply{answer: answerNone}
	}
}

// isLive reports whether a daemon is considered alive and is not leaving.
func (h *Home) isLive(name string) bool { return h.stateOf(name) == structs.StateLive }

// isReachable reports whether a daemon is not considered dead. A leaving one still decides
// until it has handed its shards over.
func (h *Home) isReachable(name string) bool { return h.stateOf(name) != stateDead }

// stateDead is the state of a daemon that is dead or unknown.
const stateDead = "dead"

// stateOf returns this daemon's view of another one: structs.StateLive,
// structs.StateLeaving or stateDead.
func (h *Home) stateOf(name string) string {
	for _, instance := range h.fleet.Live() {
		if instance.Name == name {
			return structs.StateLive
		}
	}
	if h.isLeaving(name) {
		return structs.StateLeaving
	}
	return stateDead
}
