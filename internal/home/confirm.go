package home

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/journal"
	"ibisline/internal/verdict"
)

// stateDependentReasons are the refusal reasons that are derived from the working state
// of a shard.
var stateDependentReasons = map[verdict.Reason]bool{
	verdict.UnknownProgram: true,
	verdict.ProgramEnded:   true,
	verdict.TurnOutOfOrder: true,
	verdict.TurnConflict:   true,
	verdict.HistoryGap:     true,
	verdict.BudgetSpent:    true,
}

// confirmRefusal returns err, unless it was derived from a working state that is out of
// date. A home detects a takeover only at its next commit; until then it would refuse
// programs and turns that exist at the new home. A state-dependent refusal is therefore
// returned only after the platform has confirmed that the shard is still held here.
func (h *Home) confirmRefusal(ctx context.Context, sh *shard, err error) error {
	if err == nil || !stateDependentReasons[verdict.From(err).Reason] {
		return err
	}
	confirmErr := sh.journal.Confirm(ctx)
	switch {
	case confirmErr == nil:
		return err
	case errors.Is(confirmErr, journal.ErrLost):
		sh.cancel()
		return notHome("shard %s was taken over", sh.id)
	default:
		return verdict.Wrap(confirmErr, verdict.NotRun, verdict.PlatformDown,
			"the shard's holder cannot be confirmed").RetryIn(retrySoon)
	}
}

// holderCheckInterval is how often an idle home checks that it still holds a shard. A
// shard that commits needs no check, because a commit fails once the shard is lost.
const holderCheckInterval = 3 * time.Second

// checkHolder detects a takeover that neither a request nor a commit reveals. The home
// that took the shard over may have died since; without the check nobody would end its
// programs and release their KV cache.
func (h *Home) checkHolder(sh *shard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.checkingHolder || now.Sub(sh.holderCheckedAt) < holderCheckInterval ||
		now.Sub(sh.journal.ConfirmedAt()) < holderCheckInterval {
		return
	}
	sh.checkingHolder = true
	h.work.Go(func() {
		err := sh.journal.Confirm(sh.ctx)
		if errors.Is(err, journal.ErrLost) {
			sh.cancel()
		}
		sh.mu.Lock()
		defer sh.mu.Unlock()
		sh.checkingHolder = false
		sh.holderCheckedAt = now
	})
}

// wrapShardLoss changes the reason of err to NotHome if the work failed because its
// shard was lost, so that the front retries at the new home. The verdict is kept.
func (sh *shard) wrapShardLoss(err error) error {
	if err == nil || sh.ctx.Err() == nil || verdict.HasReason(err, verdict.NotHome) {
		return err
	}
	return verdict.Wrap(err, verdict.From(err).Verdict, verdict.NotHome, "shard was lost").RetryIn(retrySoon)
}
