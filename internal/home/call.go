package home

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/budget"
	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Call implements Service.
func (h *Home) Call(ctx context.Context, r structs.CallRequest) (structs.CallReply, error) {
	if r.Service == "" || (r.Key == "" && !r.Repeatable) {
		return structs.CallReply{}, verdict.Refuse(verdict.BadRequest, "a call needs a service and, unless repeatable, a key")
	}
	sh, p, err := h.enter(ctx, r.Program)
	if err != nil {
		return structs.CallReply{}, err
	}
	if !r.Repeatable {
		reply, err := h.order(ctx, sh, p, r)
		return reply, h.confirmed(ctx, sh, err)
	}
	end, err := sh.begin()
	if err != nil {
		return structs.CallReply{}, err
	}
	defer end()
	ctx, cancel := sh.bound(ctx)
	defer cancel()
	return h.repeatable(ctx, sh, p, r)
}

// bound returns ctx that also ends with the shard.
func (sh *shard) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(sh.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// repeatable sends a call that may run more than once, and tries again after
// failures that another server may not have.
func (h *Home) repeatable(ctx context.Context, sh *shard, p *program, r structs.CallRequest) (structs.CallReply, error) {
	j, err := h.prepare(sh, p, structs.TurnRequest{})
	if err != nil {
		return structs.CallReply{}, err
	}
	counted := h.callNeed(j)
	if err := sh.reserveCall(ctx, counted, j); err != nil {
		return structs.CallReply{}, err
	}
	reply, err := h.tryCall(ctx, j, r)
	if verdict.Is(err, verdict.NotRun) {
		sh.unreserve(counted)
		return reply, err
	}
	sh.chargeCall(counted)
	return reply, err
}

// tryCall sends a repeatable call at most CallTries times. The error tells
// whether any of the tries may have run.
func (h *Home) tryCall(ctx context.Context, j job, r structs.CallRequest) (structs.CallReply, error) {
	deadline := h.callDeadline(r)
	mayHaveRun := false
	var last error
	for range h.cfg.CallTries {
		reply, err := h.sendOnce(ctx, j, r, deadline)
		if err == nil {
			return reply, nil
		}
		last = err
		mayHaveRun = mayHaveRun || !verdict.Is(err, verdict.NotRun)
		if ctx.Err() != nil || time.Now().After(deadline) || !worthRetry(err) {
			break
		}
	}
	failed := *verdict.From(last)
	if mayHaveRun {
		failed.Verdict = verdict.MayHaveRun
	}
	return structs.CallReply{}, &failed
}

// worthRetry reports whether another try may end otherwise.
func worthRetry(err error) bool {
	return verdict.HasReason(err, verdict.BackendFailed) || verdict.HasReason(err, verdict.PeerLost)
}

// sendOnce gets a slot and sends the call.
func (h *Home) sendOnce(ctx context.Context, j job, r structs.CallRequest, deadline time.Time) (structs.CallReply, error) {
	slot, release, err := h.slot(ctx, j, r, deadline)
	if err != nil {
		return structs.CallReply{}, err
	}
	defer release()
	return h.send(ctx, slot.Server, r)
}

// send opens the connection and bounds the call in time.
func (h *Home) send(ctx context.Context, server structs.Server, r structs.CallRequest) (structs.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout(r))
	defer cancel()
	reply, err := h.deps.Sender.Send(ctx, server, r)
	if err != nil {
		return structs.CallReply{}, err
	}
	reply.Verdict = verdict.Ran
	reply.Server = server.Name
	reply.Home = h.deps.Self
	return reply, nil
}

// slot waits for the entry's limits and for a slot at a server.
func (h *Home) slot(ctx context.Context, j job, r structs.CallRequest, deadline time.Time) (structs.Slot, func(), error) {
	release, err := h.limit(ctx, j.entry, deadline)
	if err != nil {
		return structs.Slot{}, nil, err
	}
	slot, err := h.deps.Router.AcquireSlot(ctx, structs.SlotRequest{
		Program:   r.Program,
		Entry:     j.entry.Name,
		Owner:     j.entry.Owner,
		Class:     j.entry.Class,
		Service:   r.Service,
		Deadline:  deadline,
		RequestID: r.RequestID,
	})
	if err != nil {
		release()
		return structs.Slot{}, nil, err
	}
	return slot, func() {
		h.deps.Router.ReleaseSlot(slot)
		release()
	}, nil
}

func (h *Home) callTimeout(r structs.CallRequest) time.Duration {
	if r.TimeoutMS > 0 {
		return time.Duration(r.TimeoutMS) * time.Millisecond
	}
	return h.cfg.CallTimeout
}

// callDeadline is the latest time for a slot.
func (h *Home) callDeadline(r structs.CallRequest) time.Time {
	return time.Now().Add(min(h.callTimeout(r), h.cfg.QueueFor))
}

// callNeed is one call of the tree's budget.
func (h *Home) callNeed(j job) need {
	return need{
		root:     j.root,
		amount:   1,
		limit:    j.limits.BudgetCalls,
		headroom: h.cfg.GrantCalls,
		escrow:   callEscrow,
		meter:    callMeter,
	}
}

// reserveCall reserves one call.
func (sh *shard) reserveCall(ctx context.Context, n need, j job) error {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	err := sh.reserve(ctx, n)
	if errors.Is(err, errSpent) {
		return verdict.Refuse(verdict.BudgetSpent, "the budget of %d calls is spent", n.limit)
	}
	return err
}

// chargeCall turns a reserved call into a spent one. The grant that covers it
// is stored, so the charge itself need not be waited for.
func (sh *shard) chargeCall(n need) {
	if n.limit == budget.Unlimited {
		sh.unreserve(n)
		return
	}
	_, _ = sh.grantUpdate(n.root, func(s *journal.State) error {
		sh.tree(s, n.root).calls.reserved -= n.amount
		s.Edit(n.root).Calls.Charge(n.amount)
		return nil
	})
}
