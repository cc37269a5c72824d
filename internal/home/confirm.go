package home

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/journal"
	"ibisline/internal/verdict"
)

// stateReasons are the refusals that rest on the working state of a shard.
var stateReasons = map[verdict.Reason]bool{
	verdict.UnknownProgram: true,
	verdict.ProgramEnded:   true,
	verdict.TurnOutOfOrder: true,
	verdict.TurnConflict:   true,
	verdict.HistoryGap:     true,
	verdict.BudgetSpent:    true,
}

// confirmed returns err, unless err rests on a working state that is out of
// date. A home learns of a takeover by its next commit; before that it would
// deny programs and turns that the new home knows. So such a refusal is given
// only after the platform said that the shard is still held here.
func (h *Home) confirmed(ctx context.Context, sh *shard, err error) error {
	if err == nil || !stateReasons[verdict.From(err).Reason] {
		return err
	}
	lost := sh.journal.Confirm(ctx)
	switch {
	case lost == nil:
		return err
	case errors.Is(lost, journal.ErrLost):
		sh.cancel()
		return notHome("shard %s was taken over", sh.id)
	default:
		return verdict.Wrap(lost, verdict.NotRun, verdict.PlatformDown, "the shard's holder cannot be confirmed").RetryIn(retrySoon)
	}
}

// checkInterval is the time after which an idle home looks whether a shard is
// still held here. A shard that commits is not idle: a commit fails once the
// shard is lost.
const checkInterval = 3 * time.Second

// check finds out about a takeover that no request and no commit would show: the
// home that took the shard over may have died since, and then nobody else ends
// the programs and releases their engine memory.
func (h *Home) check(sh *shard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.checking || now.Sub(sh.checked) < checkInterval || now.Sub(sh.journal.ConfirmedAt()) < checkInterval {
		return
	}
	sh.checking = true
	h.work.Go(func() {
		err := sh.journal.Confirm(sh.ctx)
		if errors.Is(err, journal.ErrLost) {
			sh.cancel()
		}
		sh.mu.Lock()
		defer sh.mu.Unlock()
		sh.checking = false
		sh.checked = now
	})
}

// lostWith gives the failure of work that ended with its shard the reason
// NotHome, so that the front goes on at the new home, and keeps its verdict.
func (sh *shard) lostWith(err error) error {
	if err == nil || sh.ctx.Err() == nil || verdict.HasReason(err, verdict.NotHome) {
		return err
	}
	return verdict.Wrap(err, verdict.From(err).Verdict, verdict.NotHome, "shard was lost").RetryIn(retrySoon)
}
