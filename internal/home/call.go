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

// Call runs a call to a plain service. A repeatable call may be sent several times; any
// other call is sent at most once per key.
func (h *Home) Call(ctx context.Context, r structs.CallRequest) (structs.CallReply, error) {
	if r.Service == "" || (r.Key == "" && !r.Repeatable) {
		return structs.CallReply{}, verdict.Refuse(verdict.BadRequest, "a call needs a service and, unless repeatable, a key")
	}
	sh, p, err := h.findAndTouch(ctx, r.Program)
	if err != nil {
		return structs.CallReply{}, err
	}
	if !r.Repeatable {
		reply, err := h.callOnce(ctx, sh, p, r)
		return reply, h.confirmRefusal(ctx, sh, err)
	}
	end, err := sh.beginWork()
	if err != nil {
		return structs.CallReply{}, err
	}
	defer end()
	ctx, cancel := sh.withContext(ctx)
	defer cancel()
	return h.callRepeatable(ctx, sh, p, r)
}

// withContext returns a copy of ctx that is also canceled when the shard is lost or
// released.
func (sh *shard) withContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(sh.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// callRepeatable sends a call that may run more than once and charges it to the budget
// unless it did not run.
func (h *Home) callRepeatable(
	ctx context.Context, sh *shard, p *program, r structs.CallRequest,
) (structs.CallReply, error) {
	j, err := h.prepare(sh, p, structs.TurnRequest{})
	if err != nil {
		return structs.CallReply{}, err
	}
	counted := h.callReservation(j)
	if err := sh.reserveCall(ctx, counted, j); err != nil {
		return structs.CallReply{}, err
	}
	reply, err := h.sendWithRetries(ctx, j, r)
	if verdict.Is(err, verdict.NotRun) {
		sh.unreserve(counted)
		return reply, err
	}
	sh.chargeCall(counted)
	return reply, err
}

// sendWithRetries sends a repeatable call up to CallAttempts times. The verdict of the
// returned error covers all attempts: it is MayHaveRun if any of them may have run.
func (h *Home) sendWithRetries(ctx context.Context, j job, r structs.CallRequest) (structs.CallReply, error) {
	deadline := h.callDeadline(r)
	mayHaveRun := false
	var last error
	for range h.cfg.CallAttempts {
		reply, err := h.sendOnce(ctx, j, r, deadline)
		if err == nil {
			return reply, nil
		}
		last = err
		mayHaveRun = mayHaveRun || !verdict.Is(err, verdict.NotRun)
		if ctx.Err() != nil || time.Now().After(deadline) || !retryable(err) {
			break
		}
	}
	failed := *verdict.From(last)
	if mayHaveRun {
		failed.Verdict = verdict.MayHaveRun
	}
	return structs.CallReply{}, &failed
}

// retryable reports whether a failure may be specific to the chosen server, so that
// another attempt can succeed.
func retryable(err error) bool {
	return verdict.HasReason(err, verdict.BackendFailed) || verdict.HasReason(err, verdict.PeerLost)
}

// sendOnce acquires a slot and sends the call once.
func (h *Home) sendOnce(
	ctx context.Context, j job, r structs.CallRequest, deadline time.Time,
) (structs.CallReply, error) {
	slot, release, err := h.acquireSlot(ctx, j, r, deadline)
	if err != nil {
		return structs.CallReply{}, err
	}
	defer release()
	return h.send(ctx, slot.Server, r)
}

// send sends the call to server within the call's timeout.
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

// acquireSlot waits for the entry's limits and then for a slot at a backend server. The
// returned function releases both.
func (h *Home) acquireSlot(
	ctx context.Context, j job, r structs.CallRequest, deadline time.Time,
) (structs.Slot, func(), error) {
	release, err := h.acquireLimit(ctx, j.entry, deadline)
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

// callDeadline returns the time by which a call must have a slot.
func (h *Home) callDeadline(r structs.CallRequest) time.Time {
	return time.Now().Add(min(h.callTimeout(r), h.cfg.QueueFor))
}

// callReservation returns a reservation of one call from the budget of the program's
// tree.
func (h *Home) callReservation(j job) reservation {
	return reservation{
		root:     j.root,
		amount:   1,
		limit:    j.rootEntry.BudgetCalls,
		headroom: h.cfg.GrantCalls,
		escrow:   callEscrow,
		meter:    callMeter,
	}
}

// reserveCall reserves one call and refuses with BudgetSpent if none is left.
func (sh *shard) reserveCall(ctx context.Context, res reservation, j job) error {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	err := sh.reserve(ctx, res)
	if errors.Is(err, errBudgetSpent) {
		return verdict.Refuse(verdict.BudgetSpent, "the budget of %d calls is spent", res.limit)
	}
	return err
}

// chargeCall turns a reserved call into a spent one. It does not wait for the write,
// because the grant that covers the call is already stored.
func (sh *shard) chargeCall(res reservation) {
	if res.limit == budget.Unlimited {
		sh.unreserve(res)
		return
	}
	_, _ = sh.grantUpdate(res.root, func(s *journal.State) error {
		sh.metersOf(s, res.root).calls.reserved -= res.amount
		s.Edit(res.root).Calls.Charge(res.amount)
		return nil
	})
}
