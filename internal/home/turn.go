package home

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Turn runs, joins or replays a turn; see Service.
func (h *Home) Turn(ctx context.Context, r structs.TurnRequest, sink structs.Sink) error {
	if r.Turn < 1 || r.MaxTokens < 0 || len(r.Messages) == 0 {
		return verdict.Refuse(verdict.BadRequest, "a turn needs a number from 1, messages, and no negative max_tokens")
	}
	past, r, err := splitResent(r)
	if err != nil {
		return err
	}
	if err := checkSize(r.Messages); err != nil {
		return err
	}
	sh, p, err := h.findAndTouch(ctx, r.Program)
	if err != nil {
		return err
	}
	a, err := h.admit(ctx, sh, p, r, past)
	if err != nil {
		return h.confirmRefusal(ctx, sh, err)
	}
	return a.follow(ctx, 0, sink)
}

// maxTurnBytes bounds the messages of one turn and, separately, its answer, so that a
// turn fits into one object of the platform.
const maxTurnBytes = 400 << 10

// checkSize refuses messages of one turn that exceed maxTurnBytes.
func checkSize(messages []structs.Message) error {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content)
	}
	if size > maxTurnBytes {
		return verdict.Refuse(verdict.BadRequest, "messages have %d bytes, at most %d are allowed", size, maxTurnBytes)
	}
	return nil
}

// Resume delivers the rest of a turn that is in progress or finished. It starts from
// the first event if r.Run names another run, because positions differ between
// runs.
func (h *Home) Resume(ctx context.Context, r structs.ResumeRequest, sink structs.Sink) error {
	sh, p, err := h.findAndTouch(ctx, r.Program)
	if err != nil {
		return err
	}
	a, err := h.knownAnswer(ctx, sh, p, r.Turn, nil)
	if err != nil {
		return h.confirmRefusal(ctx, sh, err)
	}
	if a == nil {
		next := sh.nextTurn(p.id)
		refusal := verdict.Refuse(verdict.TurnOutOfOrder, "turn %d is not known, the next one is %d", r.Turn, next)
		refusal.Turn = next
		return h.confirmRefusal(ctx, sh, refusal)
	}
	after := r.After
	if r.Run != "" && r.Run != a.runID {
		after = 0
	}
	return a.follow(ctx, after, sink)
}

// nextTurn returns the number of the first turn that is not recorded yet.
func (sh *shard) nextTurn(id string) int {
	next := 0
	sh.journal.View(func(s *journal.State) { next = s.Programs[id].Turns + 1 })
	return next
}

// admit returns the answer of a turn: a stored one, the one in progress, or a new one.
// A turn that arrives early waits up to PredecessorTimeout for the turns before it.
func (h *Home) admit(
	ctx context.Context, sh *shard, p *program, r structs.TurnRequest, past *resentHistory,
) (*answer, error) {
	content := journal.TurnContent(r)
	early := time.NewTimer(h.cfg.PredecessorTimeout)
	defer early.Stop()
	for {
		a, err := h.knownAnswer(ctx, sh, p, r.Turn, content)
		if a != nil || err != nil {
			return a, err
		}
		a, changed, err := h.startTurn(sh, p, r, past, content)
		if a != nil || err != nil {
			return a, err
		}
		// A home records a turn before its caller receives the digest. So a caller
		// whose digest is ahead of this home has turns that this home lacks, and
		// waiting does not help.
		if r.Digest != "" && sh.nextTurn(p.id) < r.Turn && past == nil {
			return nil, outOfOrder(r, sh.nextTurn(p.id))
		}
		select {
		case <-changed:
		case <-sh.ctx.Done():
			return nil, notHome("shard %s was lost", sh.id)
		case <-ctx.Done():
			return nil, verdict.Refuse(verdict.Canceled, "caller left before turn %d started", r.Turn)
		case <-early.C:
			return nil, outOfOrder(r, sh.nextTurn(p.id))
		}
	}
}

// outOfOrder returns the refusal of a turn whose predecessors are missing. A caller
// with a digest has the preceding answer and can resend the missing turns, so it gets a
// history gap.
func outOfOrder(r structs.TurnRequest, next int) error {
	if r.Digest != "" {
		return historyGap(next, "turns from %d on are not known here", next)
	}
	refusal := verdict.Refuse(verdict.TurnOutOfOrder, "turn %d came before turn %d", r.Turn, next)
	refusal.Turn = next
	return refusal
}

// knownAnswer returns the answer of a turn that is in progress or finished, or nil.
// Unless nil, content must match the request that started the turn.
func (h *Home) knownAnswer(ctx context.Context, sh *shard, p *program, turn int, content []byte) (*answer, error) {
	current, finished := sh.progress(p, turn)
	if current != nil && current.turn == turn {
		return current.answer, sameContent(turn, current.content, content)
	}
	if turn < 1 || !finished {
		return nil, nil
	}
	turns, err := h.history(ctx, sh, p)
	if err != nil {
		return nil, err
	}
	if turn > len(turns) {
		return nil, nil
	}
	stored := turns[turn-1]
	if err := sameContent(turn, stored.Content, content); err != nil {
		return nil, err
	}
	return h.replay(stored), nil
}

// progress returns the latest run, and whether the turn is part of the history. Both
// are read under one lock, because a turn is recorded before it is durable, and until
// then its answer may only be taken from its run. With two separate reads, a turn that
// starts and is recorded in between would be mistaken for a stored one.
func (sh *shard) progress(p *program, turn int) (*run, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run, turn < sh.nextTurn(p.id)
}

// sameContent refuses a request that differs from the one on record for its turn. For a
// resent turn only the messages are on record, and its digest covers them.
func sameContent(turn int, known, sent []byte) error {
	if sent == nil || known == nil || bytes.Equal(known, sent) {
		return nil
	}
	return verdict.Refuse(verdict.TurnConflict, "turn %d was sent with other content", turn)
}

// replay rebuilds the events of a stored turn.
func (h *Home) replay(turn journal.Turn) *answer {
	a := newAnswer(turn.ExecutionID)
	rest := turn.Answer
	for _, length := range turn.EventLengths {
		a.appendText(rest[:length])
		rest = rest[length:]
	}
	a.finish(h.lastEvent(turn))
	return a
}

// history returns the program's turns, and reads them from the journal if they are not
// in memory.
func (h *Home) history(ctx context.Context, sh *shard, p *program) ([]journal.Turn, error) {
	p.mu.Lock()
	turns, loaded := p.history, p.loaded
	p.mu.Unlock()
	if loaded {
		return turns, nil
	}
	turns, err := sh.journal.History(ctx, p.id)
	if errors.Is(err, journal.ErrHistoryMismatch) {
		h.counts.gaps.Inc()
		h.log.WithField("program", p.id).WithError(err).Error("stored history is incomplete")
		gap := verdict.Wrap(err, verdict.NotRun, verdict.HistoryGap, "stored history is incomplete")
		gap.Turn = 1
		return nil, gap
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PlatformDown, "history cannot be read").RetryIn(retrySoon)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		p.history, p.loaded = turns, true
	}
	return p.history, nil
}
