package tokenbudget

import (
	"context"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
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
	found := incumbent{home: f.fence.Home, claiming: f.replica.Fence != f.fence, activity: activity{fence: f.fence}}
	if !found.claiming {
		found.activity.decisions = f.replica.Decisions
	}
	return found
}

// incumbentDecides reports whether the incumbent, or the daemon to which it is handing the
// shard over, decides about the shard, so that this daemon must not take it over. It sets
// a.incumbent to that daemon. Read returns the present incumbent.
func (s *shard) incumbentDecides(
	ctx context.Context, a *acquisition, first incumbent, read func(context.Context) (incumbent, error),
) bool {
	defer a.endStep("ask")
	a.incumbent, a.incumbentState, a.incumbentAnswer = first.home, s.home.stateOf(first.home), ""
	if first.home == "" || first.home == s.home.fleet.Self().Name || first.activity == a.silent {
		return false
	}
	w := newIncumbentWatch(s.home.config, first, time.Now())
	for s.home.isReachable(first.home) && ctx.Err() == nil {
		reply := s.askIncumbent(ctx, first.home)
		a.incumbentAnswer = reply.answer
		if reply.answer == answerHandsOver {
			return s.leaveToSuccessor(ctx, a, reply.successor)
		}
		w.observeAnswer(reply.answer)
		if w.standing == unknown {
			w.readPresent(ctx, read)
			w.checkSilence(time.Now())
		}
		switch w.standing {
		case decides:
			return true
		case replaceable:
			a.silent = first.activity
			return false
		}
		timers.Sleep(ctx, incumbentPollPause)
	}
	return false
}

// leaveToSuccessor reports whether the shard is being handed over to another daemon. If it is
// being handed over to this one, it waits for the state.
func (s *shard) leaveToSuccessor(ctx context.Context, a *acquisition, successor string) bool {
	if successor == s.home.fleet.Self().Name {
		s.awaitOffer(ctx)
		return false
	}
	a.incumbent = successor
	return true
}

// standing is the conclusion about an incumbent.
type standing uint8

const (
	unknown standing = iota
	// decides: it must not be replaced.
	decides
	// replaceable: it does not decide, or counts as dead.
	replaceable
)

// incumbentWatch concludes from answers and stored decisions whether an incumbent may be
// replaced. One that does not answer counts as dead only if it has also stored no decision for
// SilenceLimit, or for ClaimLimit if it has just claimed the shard: a home is slowest to answer
// right after a takeover, and replacing it then would only make its successor as slow.
type incumbentWatch struct {
	config Config
	// known is the incumbent as read last, silentSince the time of the last sign of activity.
	// compared is set once known has been read in the same way as the later readings.
	known       incumbent
	compared    bool
	silentSince time.Time
	refusals    int
	changes     int
	standing    standing
}

func newIncumbentWatch(config Config, first incumbent, now time.Time) *incumbentWatch {
	return &incumbentWatch{config: config, known: first, silentSince: now}
}

// observeAnswer applies the answer to one question.
func (w *incumbentWatch) observeAnswer(answer string) {
	switch answer {
	case answerHolds:
		w.standing = decides
	case answerHoldsNot:
		w.standing = replaceable
	case answerRefused:
		w.refusals++
	}
	if w.refusals == maxRefusals {
		w.standing = replaceable
	}
}

// readPresent reads the present incumbent. While it cannot be read, nothing is concluded from
// it. The first reading of the known incumbent is what later ones are compared with.
func (w *incumbentWatch) readPresent(ctx context.Context, read func(context.Context) (incumbent, error)) {
	present, err := read(ctx)
	switch {
	case err != nil:
		return
	case !w.compared && present.activity.fence == w.known.activity.fence:
		w.known = present
	default:
		w.observePresent(present, time.Now())
	}
	w.compared = true
}

// observePresent applies the present incumbent as read. If another daemon has taken the shard
// over, a claim of this one fails on the changed checkpoint.
func (w *incumbentWatch) observePresent(present incumbent, now time.Time) {
	switch {
	case present.activity == w.known.activity:
		return
	case present.home != w.known.home:
		w.standing = replaceable
		return
	}
	w.known, w.silentSince = present, now
	w.changes++
	if w.changes == minChanges {
		w.standing = decides
	}
}

// checkSilence applies the time without activity.
func (w *incumbentWatch) checkSilence(now time.Time) {
	limit := w.config.SilenceLimit
	if w.known.claiming {
		limit = w.config.ClaimLimit
	}
	if w.standing == unknown && now.Sub(w.silentSince) >= limit {
		w.standing = replaceable
	}
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
