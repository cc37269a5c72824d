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

// run is one execution of a turn. It goes on when its callers leave.
type run struct {
	turn     int
	content  []byte
	answer   *answer
	cancel   context.CancelFunc
	recorded bool // its turn is part of the history
	settled  bool // its turn is durable, and the next one may start
}

// start begins the turn if it is the next one and none is under way. Otherwise
// it returns a channel that is closed at the next change.
func (h *Home) start(sh *shard, p *program, r structs.TurnRequest, past *resent, content []byte) (*answer, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil && !p.run.settled {
		return nil, p.changed, nil
	}
	if past != nil && sh.nextTurn(p.id) < r.Turn {
		if err := sh.restore(p, past); err != nil {
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
	end, err := sh.begin()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(sh.ctx)
	started := &run{turn: r.Turn, content: content, answer: newAnswer(uuid.NewString()), cancel: cancel}
	p.run = started
	h.work.Go(func() {
		defer end()
		defer cancel()
		h.perform(ctx, sh, p, started, job)
	})
	return started.answer, nil, nil
}

// sameDigest refuses a turn whose caller has another history than this home.
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

// job is what a run needs to know of its program.
type job struct {
	request  structs.TurnRequest
	entry    structs.Entry // of the program
	limits   structs.Entry // of the root, for the budget
	root     string
	deadline time.Time
}

// prepare checks that the program may start a turn.
func (h *Home) prepare(sh *shard, p *program, r structs.TurnRequest) (job, error) {
	var record, root journal.Program
	sh.journal.View(func(s *journal.State) {
		record = *s.Programs[p.id]
		root = *s.Programs[record.Root]
	})
	if record.Ended {
		return job{}, verdict.Refuse(verdict.ProgramEnded, "program %s has ended", p.id)
	}
	entry, err := h.entry(record.Entry)
	if err != nil {
		return job{}, err
	}
	limits, err := h.entry(root.Entry)
	if err != nil {
		return job{}, err
	}
	return job{request: r, entry: entry, limits: limits, root: record.Root, deadline: h.deadline(r.DeadlineMS)}, nil
}

// perform runs the turn to its last event.
func (h *Home) perform(ctx context.Context, sh *shard, p *program, current *run, j job) {
	last, err := h.execute(ctx, sh, p, current, j)
	err = sh.lostWith(err)
	if err == nil {
		p.mu.Lock()
		current.settled = true
		p.wake()
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
	p.wake()
	p.mu.Unlock()
	current.answer.fail(err)
}

// execute reserves the budget, generates the answer, and stores the turn.
func (h *Home) execute(ctx context.Context, sh *shard, p *program, current *run, j job) (structs.Event, error) {
	turns, held, err := h.ready(ctx, sh, p, j)
	if err != nil {
		return structs.Event{}, err
	}
	generated, err := h.generate(ctx, sh, p, current, j, turns, held)
	if err != nil {
		sh.settleFailed(p.id, held, err)
		return structs.Event{}, err
	}
	turn := h.finishedTurn(p.id, current, j, turns, generated)
	seq, err := h.record(sh, p, current, j, held, turn)
	if err != nil {
		return structs.Event{}, errLostRun(err)
	}
	if err := h.durable(ctx, sh, seq); err != nil {
		return structs.Event{}, errLostRun(err)
	}
	return h.lastEvent(turn), nil
}

// ready reads the history and reserves the budget, before the deadline.
func (h *Home) ready(ctx context.Context, sh *shard, p *program, j job) ([]journal.Turn, turnReservation, error) {
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

// errLostRun is the failure of a turn that ran and could not be stored, because
// another home took the shard. The turn is repeatable there.
func errLostRun(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.NotHome, "shard was lost before the turn was stored").RetryIn(retrySoon)
}

// generate sends the turn to an engine and collects its text.
func (h *Home) generate(ctx context.Context, sh *shard, p *program, current *run, j job, turns []journal.Turn, held turnReservation) (structs.Generated, error) {
	release, err := h.limit(ctx, j.entry, j.deadline)
	if err != nil {
		return structs.Generated{}, err
	}
	defer release()
	request := h.generateRequest(sh, p.id, j, turns, held)
	generated, err := h.deps.Router.Generate(ctx, request, func(text string) error {
		if current.answer.text(text) > maxTurnBytes {
			return verdict.New(verdict.Ran, verdict.BackendFailed, "answer is longer than %d bytes", maxTurnBytes)
		}
		return nil
	})
	return generated, err
}

// generateRequest builds the whole prompt of a turn.
func (h *Home) generateRequest(sh *shard, id string, j job, turns []journal.Turn, held turnReservation) structs.GenerateRequest {
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
	sh.journal.View(func(s *journal.State) { request.Attained = s.TreeUsed(j.root) })
	return request
}

// finishedTurn builds the record of a turn.
func (h *Home) finishedTurn(id string, current *run, j job, turns []journal.Turn, g structs.Generated) journal.Turn {
	var former []byte
	if len(turns) > 0 {
		former = turns[len(turns)-1].Digest
	}
	text, pieces := current.answer.pieces()
	return journal.Turn{
		Number:   j.request.Turn,
		Content:  current.content,
		Messages: j.request.Messages,
		Answer:   text,
		Pieces:   pieces,
		Usage:    g.Usage,
		Engine:   g.Engine,
		Run:      current.answer.run,
		Digest:   journal.NextDigest(former, id, j.request.Turn, j.request.Messages, text),
	}
}

// record appends the turn to the working state, charges the budget and renews
// the grant in the same change.
func (h *Home) record(sh *shard, p *program, current *run, j job, held turnReservation, turn journal.Turn) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := turn.Usage.Total()
	h.checks.Check(used <= held.tokens.amount, "reservation",
		"program %s turn %d used %d tokens of %d reserved", p.id, turn.Number, used, held.tokens.amount)
	seq, err := sh.grantUpdate(j.root, func(s *journal.State) error {
		record, root, m := s.Edit(p.id), s.Edit(j.root), sh.tree(s, j.root)
		h.checks.Check(turn.Number == record.Turns+1, "order", "program %s: turn %d after %d", p.id, turn.Number, record.Turns)
		record.AddTurn(turn)
		record.AddEngine(turn.Engine)
		record.Context = used
		record.Model = j.request.Model
		m.tokens.reserved -= held.tokens.amount
		m.turns--
		root.Tokens.Charge(used)
		root.Tokens.Extend(j.limits.BudgetTokens, m.tokens.reserved, 0, h.headroom(j.limits, held.tokens.amount))
		return nil
	})
	if err != nil {
		return 0, err
	}
	p.history = append(p.history, turn)
	current.recorded = true
	return seq, nil
}

// durable waits until the change is stored. While the platform takes no writes,
// the wait ends after a while: the caller then holds the second copy of the
// answer, and the chain of digests verifies it when this home's copy is lost.
func (h *Home) durable(ctx context.Context, sh *shard, seq int64) error {
	for {
		wait, cancel := context.WithTimeout(ctx, h.cfg.OutageGrace)
		err := sh.journal.Wait(wait, seq)
		cancel()
		switch {
		case err == nil:
			return nil
		case errors.Is(err, journal.ErrLost), ctx.Err() != nil:
			return err
		case sh.journal.FailingFor() >= h.cfg.OutageGrace:
			return nil
		}
	}
}

// lastEvent is the final event of a finished turn.
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
