package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// giveUp withdraws an intent whose write failed or took too long. NotRun may be
// said only when no later home can read the intent.
func (h *Home) giveUp(sh *shard, r structs.CallRequest, seq int64, cause error) error {
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
	return h.withdrawn(sh, r, withdrawal, refusal)
}

// lostIntent is the failure of a call whose intent met a takeover. The state
// that the new home left tells whether the intent was stored: if it was, the
// key reads may_have_run from now on.
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

// withdraw removes the intent of a call that was not sent.
func (h *Home) withdraw(sh *shard, r structs.CallRequest, refusal *verdict.Error) error {
	seq, err := sh.journal.Update(func(s *journal.State) error {
		delete(s.Edit(r.Program).Orders, r.Key)
		return nil
	})
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.NotHome, "shard was lost before the call was withdrawn")
	}
	return h.withdrawn(sh, r, seq, refusal)
}

// withdrawn waits until the withdrawal is stored and returns the refusal. When
// that cannot be known, a later home may find the intent, so the answer has to
// agree with what it will say.
func (h *Home) withdrawn(sh *shard, r structs.CallRequest, seq int64, refusal *verdict.Error) error {
	ctx, cancel := context.WithTimeout(sh.ctx, h.cfg.WithdrawFor)
	defer cancel()
	if err := sh.journal.Wait(ctx, seq); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.PlatformDown, "call was not sent, but its record could not be withdrawn")
	}
	return refusal
}

// conclude stores the outcome of a call. The caller gets the outcome even when
// it cannot be stored: it is true, and the stored intent keeps others from
// sending again.
func (h *Home) conclude(ctx context.Context, sh *shard, r structs.CallRequest, reply structs.CallReply) {
	body, lost := "", false
	if len(reply.Body) > inlineBody {
		key, err := sh.journal.StoreBody(ctx, reply.Body)
		if err != nil {
			h.log.WithField("program", r.Program).WithError(err).Warn("body of a call is not kept")
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
	_ = h.durable(ctx, sh, seq)
}

// storedOrder answers a request whose key is known from the record.
func (h *Home) storedOrder(ctx context.Context, sh *shard, p *program, r structs.CallRequest, stored *journal.Order) (structs.CallReply, error) {
	if stored.Outcome != nil {
		return h.storedOutcome(ctx, sh, r, stored)
	}
	unsettled := verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "call %q was sent and its outcome is not known", r.Key)
	return h.settle(ctx, sh, r, stored.Server, unsettled)
}

// storedOutcome returns the outcome on record. The call ran, whatever can still
// be read of it.
func (h *Home) storedOutcome(ctx context.Context, sh *shard, r structs.CallRequest, stored *journal.Order) (structs.CallReply, error) {
	reply := *stored.Outcome
	reply.Replayed = true
	reply.Home = h.deps.Self
	if stored.BodyLost {
		return structs.CallReply{}, verdict.New(verdict.Ran, verdict.Internal, "call ran with status %d, and its answer was not kept", reply.Status)
	}
	if stored.Body == "" {
		return reply, nil
	}
	body, err := sh.journal.Body(ctx, stored.Body)
	if err != nil {
		return structs.CallReply{}, verdict.Wrap(err, verdict.Ran, verdict.PlatformDown, "call ran, and its answer cannot be read now").RetryIn(retryLater)
	}
	reply.Body = body
	return reply, nil
}

// settle asks a service that offers look-ups what became of a call. Without an
// answer the call stays one that may have run: it is never sent again.
func (h *Home) settle(ctx context.Context, sh *shard, r structs.CallRequest, server structs.Server, failed error) (structs.CallReply, error) {
	if !server.Lookup {
		return structs.CallReply{}, mayHaveRun(failed)
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	reply, ok, err := h.deps.Sender.Settle(ctx, server, r.Program+"/"+r.Key)
	if err != nil || !ok {
		return structs.CallReply{}, mayHaveRun(failed)
	}
	reply.Verdict = verdict.Ran
	reply.Server = server.Name
	reply.Home = h.deps.Self
	reply.Replayed = true
	h.conclude(ctx, sh, r, reply)
	return reply, nil
}

// mayHaveRun keeps the reason of err and never claims that the call did not run.
func mayHaveRun(err error) error {
	failed := *verdict.From(err)
	if failed.Verdict == verdict.NotRun {
		failed.Verdict = verdict.MayHaveRun
	}
	return &failed
}
