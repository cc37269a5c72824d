package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/budget"
	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// promptBound returns an upper bound of the prompt's length in tokens.
func (h *Home) promptBound(sh *shard, id string, turns []journal.Turn, r structs.TurnRequest) int {
	known, model := 0, ""
	sh.journal.View(func(s *journal.State) { known, model = s.Programs[id].ContextTokens, s.Programs[id].Model })
	if known > 0 && model == r.Model {
		return budget.PromptBound(known, r.Messages)
	}
	bound := budget.PromptBound(0, r.Messages)
	for _, turn := range turns {
		bound += budget.PromptBound(len(turn.Answer), turn.Messages)
	}
	return bound
}

// turnReservation is what a turn has reserved from the budget of its tree. prompt and
// maxTokens are in tokens.
type turnReservation struct {
	tokens    reservation
	prompt    int
	maxTokens int
}

// reserveTurn reserves the prompt and the requested output tokens, or fewer output
// tokens if the budget does not cover them all.
func (h *Home) reserveTurn(ctx context.Context, sh *shard, j job, prompt int) (turnReservation, error) {
	wanted := j.request.MaxTokens
	if wanted == 0 {
		wanted = h.cfg.DefaultMaxTokens
	}
	if err := sh.reserveTurnCount(j); err != nil {
		return turnReservation{}, err
	}
	limit := j.rootEntry.BudgetTokens
	for {
		if limit != budget.Unlimited {
			wanted = min(wanted, sh.tokensLeft(j.root, limit)-prompt)
		}
		if wanted < 1 {
			sh.releaseTurnCount(j.root)
			return turnReservation{}, verdict.Refuse(verdict.BudgetSpent, "the budget of %d tokens does not cover the prompt", limit)
		}
		tokens := reservation{
			root:     j.root,
			amount:   prompt + wanted,
			limit:    limit,
			headroom: h.headroom(j.rootEntry, prompt+wanted),
			escrow:   tokenEscrow,
			meter:    tokenMeter,
		}
		err := sh.reserve(ctx, tokens)
		if err == nil {
			return turnReservation{tokens: tokens, prompt: prompt, maxTokens: wanted}, nil
		}
		// Another turn of the tree may have reserved concurrently. The remainder
		// shrinks each time, so the loop terminates.
		if !errors.Is(err, errBudgetSpent) {
			sh.releaseTurnCount(j.root)
			return turnReservation{}, err
		}
	}
}

// reserveTurnCount reserves one turn from the tree's budget of turns.
func (sh *shard) reserveTurnCount(j job) error {
	limit := j.rootEntry.BudgetTurns
	ok := false
	sh.journal.View(func(s *journal.State) {
		m := sh.metersOf(s, j.root)
		ok = limit == budget.Unlimited || s.TreeTurns(j.root)+m.turns < limit
		if ok {
			m.turns++
		}
	})
	if !ok {
		return verdict.Refuse(verdict.BudgetSpent, "the budget of %d turns is spent", limit)
	}
	return nil
}

func (sh *shard) releaseTurnCount(root string) {
	sh.journal.View(func(s *journal.State) { sh.metersOf(s, root).turns-- })
}

// tokensLeft returns the tokens within limit that are neither spent nor reserved.
func (sh *shard) tokensLeft(root string, limit int) int {
	left := 0
	sh.journal.View(func(s *journal.State) {
		left = s.Programs[root].Tokens.Left(limit, sh.metersOf(s, root).tokens.reserved)
	})
	return left
}

// settleFailedTurn returns the reservation of a failed turn to the budget if the turn
// did not run. If the turn may have run, the whole reservation is charged, and any
// engine may hold its KV cache.
func (sh *shard) settleFailedTurn(id string, held turnReservation, err error) {
	root := held.tokens.root
	if verdict.Is(err, verdict.NotRun) {
		sh.unreserve(held.tokens)
		sh.releaseTurnCount(root)
		return
	}
	_, _ = sh.grantUpdate(root, func(s *journal.State) error {
		m := sh.metersOf(s, root)
		m.tokens.reserved -= held.tokens.amount
		m.turns--
		s.Edit(root).Tokens.Charge(held.tokens.amount)
		s.Edit(id).EnginesIncomplete = true
		return nil
	})
}
