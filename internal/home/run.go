package home

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// run is one execution of a turn. It continues when its callers disconnect.
type run struct {
	turn     int
	content  []byte
	answer   *answer
	cancel   context.CancelFunc
	recorded bool // the turn is part of the in-memory history
	durable  bool // the turn is complete and the next one may start
}

// startTurn starts the turn if it is the next one and no other is in progress.
// Otherwise it returns a channel that is closed at the next change.
func (h *Home) startTurn(
	sh *shard, p *program, r structs.TurnRequest, past *resentHistory, content []byte,
) (*answer, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil && !p.run.durable {
		return nil, p.changed, nil
	}
	if past != nil && sh.nextTurn(p.id) < r.Turn {
		if err := sh.restoreHistory(p, past); err != nil {
			return nil, nil, err
		}
	}
	if sh.nextTurn(p.id) != r.Turn {
		return nil, p.changed, nil
	}
	if err := sh.sameDigest(p.id, r); err != nil {
		return nil, nil, err
	}
	job, err := h.prepare(sh, p, r)
	if err != nil {
		return nil, nil, err
	}
	end, err := sh.beginWork()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(sh.ctx)
	started := &run{turn: r.Turn, content: content, answer: newAnswer(uuid.NewString()), cancel: cancel}
	p.run = started
	h.work.Go(func() {
		defer end()
		defer cancel()
		h.runJob(ctx, sh, p, started, job)
	})
	return started.answer, nil, nil
}

// sameDigest refuses a turn whose caller has a different history.
func (sh *shard) sameDigest(id string, r structs.TurnRequest) error {
	if r.Digest == "" {
		return nil
	}
	var digest []byte
	sh.journal.View(func(s *journal.State) { digest = s.Programs[id].Digest })
	if r.Digest == hex.EncodeToString(digest) {
		return nil
	}
	return verdict.Refuse(verdict.TurnConflict, "the digest of the history before turn %d differs", r.Turn)
}

// job holds the inputs of a run.
type job struct {
	request   structs.TurnRequest
	entry     structs.Entry // of the program
	rootEntry structs.Entry // of the tree's root, for the budget
	root      string
	deadline  time.Time
}

// prepare checks that the program may start a turn or call, and returns its job.
func (h *Home) prepare(sh *shard, p *program, r structs.TurnRequest) (job, error) {
	var record, root journal.Program
	sh.journal.View(func(s *journal.State) {
		record = *s.Programs[p.id]
		root = *s.Programs[record.Root]
	})
	if record.Ended {
		return job{}, verdict.Refuse(verdict.ProgramEnded, "program %s has ended", p.id)
	}
	entry, err := h.activeEntry(record.Entry)
	if err != nil {
		return job{}, err
	}
	rootEntry, err := h.activeEntry(root.Entry)
	if err != nil {
		return job{}, err
	}
	return job{
		request:   r,
		entry:     entry,
		rootEntry: rootEntry,
		root:      record.Root,
		deadline:  h.slotDeadline(r.DeadlineMS),
	}, nil
}

// runJob executes the turn and publishes its final event or its failure.
func (h *Home) runJob(ctx context.Context, sh *shard, p *program, current *run, j job) {
	last, err := h.execute(ctx, sh, p, current, j)
	err = sh.wrapShardLoss(err)
	if err == nil {
		p.mu.Lock()
		current.durable = true
		p.notify()
		p.mu.Unlock()
		current.answer.finish(last)
		h.counts.turns.Inc()
		return
	}
	h.counts.turnsFailed.Inc()
	h.turnLog(p, j).WithError(err).Warn("turn failed")
	p.mu.Lock()
	if !current.recorded {
		p.run = nil
	}
	p.notify()
	p.mu.Unlock()
	current.answer.fail(err)
}

// execute reserves the budget, generates the answer and stores the turn.
func (h *Home) execute(ctx context.Context, sh *shard, p *program, current *run, j job) (structs.Event, error) {
	turns, held, err := h.loadAndReserve(ctx, sh, p, j)
	if err != nil {
		return structs.Event{}, err
	}
	generated, err := h.generate(ctx, sh, p, current, j, turns, held)
	if err != nil {
		sh.settleFailedTurn(p.id, held, err)
		return structs.Event{}, err
	}
	turn := h.newTurnRecord(p.id, current, j, turns, generated)
	seq, err := h.recordTurn(sh, p, current, j, held, turn)
	if err != nil {
		return structs.Event{}, turnNotStored(err)
	}
	if err := h.waitDurable(ctx, sh, seq); err != nil {
		return structs.Event{}, turnNotStored(err)
	}
	return h.lastEvent(turn), nil
}

// loadAndReserve reads the history and reserves the budget before the deadline.
func (h *Home) loadAndReserve(
	ctx context.Context, sh *shard, p *program, j job,
) ([]journal.Turn, turnReservation, error) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	turns, err := h.history(ctx, sh, p)
	if err != nil {
		return nil, turnReservation{}, err
	}
	prompt := h.promptBound(sh, p.id, turns, j.request)
	held, err := h.reserveTurn(ctx, sh, j, prompt)
	return turns, held, err
}

// turnNotStored returns the failure of a turn that ran but could not be stored because
// another home took over the shard. The caller can repeat the turn there.
func turnNotStored(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.NotHome, "shard was lost before the turn was stored").RetryIn(retrySoon)
}

// generate sends the turn to an engine and appends the generated text to the answer.
func (h *Home) generate(
	ctx context.Context, sh *shard, p *program, current *run, j job, turns []journal.Turn, held turnReservation,
) (structs.GenerateResult, error) {
	release, err := h.acquireLimit(ctx, j.entry, j.deadline)
	if err != nil {
		return structs.GenerateResult{}, err
	}
	defer release()
	request := h.generateRequest(sh, p.id, j, turns, held)
	generated, err := h.deps.Router.Generate(ctx, request, func(text string) error {
		if current.answer.appendText(text) > maxTurnBytes {
			return verdict.New(verdict.Ran, verdict.BackendFailed, "answer is longer than %d bytes", maxTurnBytes)
		}
		return nil
	})
	return generated, err
}

// generateRequest builds the engine request of a turn with the whole history as its
// prompt.
func (h *Home) generateRequest(
	sh *shard, id string, j job, turns []journal.Turn, held turnReservation,
) structs.GenerateRequest {
	request := structs.GenerateRequest{
		Program:      id,
		Root:         j.root,
		Turn:         j.request.Turn,
		Entry:        j.entry.Name,
		Owner:        j.entry.Owner,
		Class:        j.entry.Class,
		Model:        j.request.Model,
		MaxTokens:    held.maxTokens,
		PromptTokens: held.prompt,
		Deadline:     j.deadline,
		RequestID:    j.request.RequestID,
	}
	for _, turn := range turns {
		request.Messages = append(request.Messages, turn.Messages...)
		request.Messages = append(request.Messages, structs.Message{Role: "assistant", Content: turn.Answer})
		request.LastEngine = turn.Engine
	}
	request.Messages = append(request.Messages, j.request.Messages...)
	sh.journal.View(func(s *journal.State) { request.AttainedTokens = s.TreeUsedTokens(j.root) })
	return request
}

// newTurnRecord builds the record of a finished turn.
func (h *Home) newTurnRecord(
	id string, current *run, j job, turns []journal.Turn, generated structs.GenerateResult,
) journal.Turn {
	var previous []byte
	if len(turns) > 0 {
		previous = turns[len(turns)-1].Digest
	}
	text, eventLengths := current.answer.textAndEventLengths()
	return journal.Turn{
		Number:       j.request.Turn,
		Content:      current.content,
		Messages:     j.request.Messages,
		Answer:       text,
		EventLengths: eventLengths,
		Usage:        generated.Usage,
		Engine:       generated.Engine,
		ExecutionID:  current.answer.runID,
		Digest:       journal.NextDigest(previous, id, j.request.Turn, j.request.Messages, text),
	}
}

// recordTurn appends the turn to the working state, charges the budget and extends the
// grant in one change.
func (h *Home) recordTurn(
	sh *shard, p *program, current *run, j job, held turnReservation, turn journal.Turn,
) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := turn.Usage.Total()
	h.checks.Check(used <= held.tokens.amount, "reservation",
		"program %s turn %d used %d tokens of %d reserved", p.id, turn.Number, used, held.tokens.amount)
	seq, err := sh.grantUpdate(j.root, func(s *journal.State) error {
		record, root, m := s.Edit(p.id), s.Edit(j.root), sh.metersOf(s, j.root)
		h.checks.Check(turn.Number == record.Turns+1, "order", "program %s: turn %d after %d", p.id, turn.Number, record.Turns)
		record.AddTurn(turn)
		record.AddEngine(turn.Engine)
		record.ContextTokens = used
		record.Model = j.request.Model
		m.tokens.reserved -= held.tokens.amount
		m.turns--
		root.Tokens.Charge(used)
		root.Tokens.Extend(j.rootEntry.BudgetTokens, m.tokens.reserved, 0, h.headroom(j.rootEntry, held.tokens.amount))
		return nil
	})
	if err != nil {
		return 0, err
	}
	p.history = append(p.history, turn)
	current.recorded = true
	return seq, nil
}

// waitDurable waits until change seq is stored. If the platform has accepted no writes
// for OutageGrace, it returns nil without a stored change: the caller then holds the
// second copy of the answer, and the digest chain verifies that copy if this home's
// copy is lost.
func (h *Home) waitDurable(ctx context.Context, sh *shard, seq int64) error {
	for {
		wait, cancel := context.WithTimeout(ctx, h.cfg.OutageGrace)
		err := sh.journal.Wait(wait, seq)
		cancel()
		switch {
		case err == nil:
			return nil
		case errors.Is(err, journal.ErrLost), ctx.Err() != nil:
			return err
		case sh.journal.UnansweredFor() >= h.cfg.OutageGrace:
			return nil
		}
	}
}

// lastEvent returns the final event of a finished turn.
func (h *Home) lastEvent(turn journal.Turn) structs.Event {
	usage := turn.Usage
	return structs.Event{
		Done:   true,
		Usage:  &usage,
		Engine: turn.Engine,
		Home:   h.deps.Self,
		Digest: hex.EncodeToString(turn.Digest),
	}
}
