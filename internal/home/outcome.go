package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// abandonIntent withdraws an intent whose write failed or timed out. The verdict may be
// NotRun only if no later home can read the intent.
func (h *Home) abandonIntent(sh *shard, r structs.CallRequest, seq int64, cause error) error {
	if errors.Is(cause, journal.ErrLost) {
		return lostIntent(sh, r)
	}
	refusal := verdict.From(refuseCommit(cause, "call"))
	withdrawal, clean, err := sh.journal.Withdraw(seq, func(s *journal.State) { delete(s.Edit(r.Program).Orders, r.Key) })
	if err != nil {
		return lostIntent(sh, r)
	}
	if clean {
		return refusal
	}
	return h.waitWithdrawn(sh, r, withdrawal, refusal)
}

// lostIntent returns the failure of a call whose shard was taken over while the intent
// was being stored. The state of the new home shows whether the intent was stored: if
// it was, the new home reports the key as may_have_run from then on, so this home must
// do the same.
func lostIntent(sh *shard, r structs.CallRequest) error {
	successor := sh.journal.Successor()
	if successor == nil {
		return verdict.New(verdict.MayHaveRun, verdict.NotHome, "shard was lost while the call was stored")
	}
	if p, ok := successor.Programs[r.Program]; ok && p.Orders[r.Key] != nil {
		return verdict.New(verdict.MayHaveRun, verdict.NotHome, "shard was lost after the call was stored")
	}
	return notHome("shard was lost before the call was stored")
}

// withdrawIntent removes the intent of a call that was not sent and returns refusal.
func (h *Home) withdrawIntent(sh *shard, r structs.CallRequest, refusal *verdict.Error) error {
	seq, err := sh.journal.Update(func(s *journal.State) error {
		delete(s.Edit(r.Program).Orders, r.Key)
		return nil
	})
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.NotHome, "shard was lost before the call was withdrawn")
	}
	return h.waitWithdrawn(sh, r, seq, refusal)
}

// waitWithdrawn waits until the withdrawal is stored and returns refusal. If it cannot
// be confirmed as stored, a later home may find the intent and report may_have_run, so
// the verdict here must be MayHaveRun as well.
func (h *Home) waitWithdrawn(sh *shard, r structs.CallRequest, seq int64, refusal *verdict.Error) error {
	ctx, cancel := context.WithTimeout(sh.ctx, h.cfg.WithdrawTimeout)
	defer cancel()
	if err := sh.journal.Wait(ctx, seq); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.PlatformDown, "call was not sent, but its record could not be withdrawn")
	}
	return refusal
}

// storeOutcome stores the outcome of a call. The caller receives the outcome even if it
// cannot be stored: it is correct, and the stored intent prevents any other send.
func (h *Home) storeOutcome(ctx context.Context, sh *shard, r structs.CallRequest, reply structs.CallReply) {
	body, lost := "", false
	if len(reply.Body) > maxInlineBodyBytes {
		key, err := sh.journal.StoreBody(ctx, reply.Body)
		if err != nil {
			h.log.WithField("program", r.Program).WithError(err).Warn("outcome body of a call not stored")
		}
		body, lost = key, err != nil
		reply.Body = nil
	}
	seq, err := sh.journal.Update(func(s *journal.State) error {
		known, ok := s.Edit(r.Program).Orders[r.Key]
		if !ok {
			return nil
		}
		known.Outcome = &reply
		known.Body, known.BodyLost = body, lost
		if body != "" && !lost {
			s.Segments = append(s.Segments, body)
		}
		return nil
	})
	if err != nil {
		return
	}
	_ = h.waitDurable(ctx, sh, seq)
}

// answerFromRecord answers a request whose key is already on record.
func (h *Home) answerFromRecord(
	ctx context.Context, sh *shard, p *program, r structs.CallRequest, stored *journal.Order,
) (structs.CallReply, error) {
	if stored.Outcome != nil {
		return h.replayOutcome(ctx, sh, r, stored)
	}
	unknownOutcome := verdict.New(verdict.MayHaveRun, verdict.BackendFailed,
		"call %q was sent and its outcome is not known", r.Key)
	return h.lookUpOutcome(ctx, sh, r, stored.Server, unknownOutcome)
}

// replayOutcome returns the stored outcome. The verdict is Ran in any case, even if the
// body was not kept or cannot be read.
func (h *Home) replayOutcome(
	ctx context.Context, sh *shard, r structs.CallRequest, stored *journal.Order,
) (structs.CallReply, error) {
	reply := *stored.Outcome
	reply.Replayed = true
	reply.Home = h.deps.Self
	if stored.BodyLost {
		return structs.CallReply{}, verdict.New(verdict.Ran, verdict.Internal,
			"call ran with status %d, and its answer was not kept", reply.Status)
	}
	if stored.Body == "" {
		return reply, nil
	}
	body, err := sh.journal.ReadBody(ctx, stored.Body)
	if err != nil {
		return structs.CallReply{}, verdict.Wrap(err, verdict.Ran, verdict.PlatformDown,
			"call ran, and its answer cannot be read now").RetryIn(retryLater)
	}
	reply.Body = body
	return reply, nil
}

// lookUpOutcome asks the service for the outcome of a call, if the server supports
// look-ups. Without an answer the call keeps the verdict MayHaveRun and is never sent
// again.
func (h *Home) lookUpOutcome(
	ctx context.Context, sh *shard, r structs.CallRequest, server structs.Server, failed error,
) (structs.CallReply, error) {
	if !server.Lookup {
		return structs.CallReply{}, mayHaveRun(failed)
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	reply, ok, err := h.deps.Sender.LookUpOutcome(ctx, server, r.Program+"/"+r.Key)
	if err != nil || !ok {
		return structs.CallReply{}, mayHaveRun(failed)
	}
	reply.Verdict = verdict.Ran
	reply.Server = server.Name
	reply.Home = h.deps.Self
	reply.Replayed = true
	h.storeOutcome(ctx, sh, r, reply)
	return reply, nil
}

// mayHaveRun returns a copy of err with the verdict NotRun replaced by MayHaveRun.
func mayHaveRun(err error) error {
	failed := *verdict.From(err)
	if failed.Verdict == verdict.NotRun {
		failed.Verdict = verdict.MayHaveRun
	}
	return &failed
}
