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

// Turn implements Service.
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
	sh, p, err := h.enter(ctx, r.Program)
	if err != nil {
		return err
	}
	a, err := h.admit(ctx, sh, p, r, past)
	if err != nil {
		return h.confirmed(ctx, sh, err)
	}
	return a.follow(ctx, 0, sink)
}

// maxTurnBytes bounds the messages of one turn, and its answer, so that a turn
// fits into one object of the platform.
const maxTurnBytes = 400 << 10

// checkSize refuses messages of one turn that are too large to be stored.
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

// Resume implements Service.
func (h *Home) Resume(ctx context.Context, r structs.ResumeRequest, sink structs.Sink) error {
	sh, p, err := h.enter(ctx, r.Program)
	if err != nil {
		return err
	}
	a, err := h.known(ctx, sh, p, r.Turn, nil)
	if err != nil {
		return h.confirmed(ctx, sh, err)
	}
	if a == nil {
		next := sh.nextTurn(p.id)
		refusal := verdict.Refuse(verdict.TurnOutOfOrder, "turn %d is not known, the next one is %d", r.Turn, next)
		refusal.Turn = next
		return h.confirmed(ctx, sh, refusal)
	}
	after := r.After
	if r.Run != "" && r.Run != a.run {
		after = 0
	}
	return a.follow(ctx, after, sink)
}

// nextTurn is the number of the first turn that has not finished.
func (sh *shard) nextTurn(id string) int {
	next := 0
	sh.journal.View(func(s *journal.State) { next = s.Programs[id].Turns + 1 })
	return next
}

// admit returns the answer of a turn: a stored one, the one under way, or a new
// one. A turn that comes early waits a while for the turns before it.
func (h *Home) admit(ctx context.Context, sh *shard, p *program, r structs.TurnRequest, past *resent) (*answer, error) {
	content := journal.TurnContent(r)
	early := time.NewTimer(h.cfg.EarlyWait)
	defer early.Stop()
	for {
		a, err := h.known(ctx, sh, p, r.Turn, content)
		if a != nil || err != nil {
			return a, err
		}
		a, changed, err := h.start(sh, p, r, past, content)
		if a != nil || err != nil {
			return a, err
		}
		// A home records a turn before its caller gets the digest, so a caller
		// with a digest that is not known here has more than this home.
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

// outOfOrder is the refusal of a turn whose predecessors are missing. A caller
// that has the answer before the turn, as the digest shows, can resend them.
func outOfOrder(r structs.TurnRequest, next int) error {
	if r.Digest != "" {
		return historyGap(next, "turns from %d on are not known here", next)
	}
	refusal := verdict.Refuse(verdict.TurnOutOfOrder, "turn %d came before turn %d", r.Turn, next)
	refusal.Turn = next
	return refusal
}

// known returns the answer of a turn that is under way or finished, or nil.
// Content, unless nil, must match the request that started it.
func (h *Home) known(ctx context.Context, sh *shard, p *program, turn int, content []byte) (*answer, error) {
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

// progress returns the run under way and whether the turn is part of the history.
// Both are read together: a turn is recorded before it is durable, and until then
// its answer may be had from its run only. Read one after the other, a turn that
// starts and is recorded in between would pass for a stored one.
func (sh *shard) progress(p *program, turn int) (*run, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run, turn < sh.nextTurn(p.id)
}

// sameContent refuses a request that differs from the one known for its turn.
// Of a resent turn only the messages are known, which its digest covers.
func sameContent(turn int, known, sent []byte) error {
	if sent == nil || known == nil || bytes.Equal(known, sent) {
		return nil
	}
	return verdict.Refuse(verdict.TurnConflict, "turn %d was sent with other content", turn)
}

// replay rebuilds the events of a stored turn.
func (h *Home) replay(turn journal.Turn) *answer {
	a := newAnswer(turn.Run)
	rest := turn.Answer
	for _, length := range turn.Pieces {
		a.text(rest[:length])
		rest = rest[length:]
	}
	a.finish(h.lastEvent(turn))
	return a
}

// history returns the program's turns, read from the journal when needed.
func (h *Home) history(ctx context.Context, sh *shard, p *program) ([]journal.Turn, error) {
	p.mu.Lock()
	turns, loaded := p.history, p.loaded
	p.mu.Unlock()
	if loaded {
		return turns, nil
	}
	turns, err := sh.journal.History(ctx, p.id)
	if errors.Is(err, journal.ErrGap) {
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
