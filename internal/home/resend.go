package home

import (
	"encoding/hex"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// resentHistory contains turns that a caller sends again because the home lacks them:
// their answers were delivered while the platform accepted no writes, and the home that
// had them was lost.
type resentHistory struct {
	first  int // number of the first turn
	turns  []journal.Turn
	digest string // of the last turn, in hexadecimal, as delivered to the caller
}

// splitResent separates resent history from the messages of the turn itself. Each
// assistant message ends a turn, so there must be exactly one for each turn from
// ResendFrom up to Turn-1. Without ResendFrom the history is nil.
func splitResent(r structs.TurnRequest) (*resentHistory, structs.TurnRequest, error) {
	if r.ResendFrom == 0 {
		return nil, r, nil
	}
	if r.ResendFrom < 0 || r.ResendFrom >= r.Turn || r.Digest == "" {
		return nil, r, verdict.Refuse(verdict.BadRequest, "resend_from must lie before turn %d and come with a digest", r.Turn)
	}
	past := &resentHistory{first: r.ResendFrom, digest: r.Digest}
	start := 0
	for i, message := range r.Messages {
		if message.Role != "assistant" {
			continue
		}
		if err := checkSize(r.Messages[start : i+1]); err != nil {
			return nil, r, err
		}
		past.turns = append(past.turns, journal.Turn{
			Number:       r.ResendFrom + len(past.turns),
			Messages:     r.Messages[start:i],
			Answer:       message.Content,
			EventLengths: []int{len(message.Content)},
		})
		start = i + 1
	}
	if len(past.turns) != r.Turn-r.ResendFrom || start == len(r.Messages) {
		return nil, r, verdict.Refuse(verdict.BadRequest,
			"turns %d to %d need an assistant message each, and turn %d new messages", r.ResendFrom, r.Turn-1, r.Turn)
	}
	r.Messages = r.Messages[start:]
	return past, r, nil
}

// restoreHistory appends resent turns to the history if they continue it and yield the
// digest that the caller received. The caller holds p.mu, and no turn is in progress.
func (sh *shard) restoreHistory(p *program, past *resentHistory) error {
	_, err := sh.journal.Update(func(s *journal.State) error {
		record := s.Edit(p.id)
		next := record.Turns + 1
		if past.first > next {
			return historyGap(next, "turns from %d are missing", next)
		}
		missing := past.turns[min(next-past.first, len(past.turns)):]
		digest := record.Digest
		for i := range missing {
			turn := &missing[i]
			digest = journal.NextDigest(digest, p.id, turn.Number, turn.Messages, turn.Answer)
			turn.Digest = digest
		}
		if hex.EncodeToString(digest) != past.digest {
			return historyGap(next, "resent history does not match its digest")
		}
		for _, turn := range missing {
			record.AddTurn(turn)
			record.ContextTokens = 0
		}
		return nil
	})
	p.history, p.loaded = nil, false
	if err != nil {
		return refuseUpdate(err, "resent history")
	}
	return nil
}

// historyGap returns a refusal that carries the first turn to resend.
func historyGap(from int, format string, args ...any) error {
	gap := verdict.Refuse(verdict.HistoryGap, format, args...)
	gap.Turn = from
	return gap
}
