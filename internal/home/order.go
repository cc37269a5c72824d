package home

import (
	"bytes"
	"context"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// order is a non-repeatable call in progress, shared by the requests with the same key.
type order struct {
	content []byte
	done    chan struct{}
	reply   structs.CallReply
	err     error
}

// callOnce runs a non-repeatable call at most once. It starts the call, joins it if it
// is in progress, or answers from its stored record.
func (h *Home) callOnce(ctx context.Context, sh *shard, p *program, r structs.CallRequest) (structs.CallReply, error) {
	content := journal.CallContent(r)
	o, stored, err := h.joinOrder(sh, p, r, content)
	if err != nil {
		return structs.CallReply{}, err
	}
	if stored != nil {
		return h.answerFromRecord(ctx, sh, p, r, stored)
	}
	select {
	case <-o.done:
		return o.reply, o.err
	case <-ctx.Done():
		// The call continues without this caller.
		return structs.CallReply{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.Canceled, "caller left")
	}
}

// joinOrder returns the call in progress or its stored record, and starts the call if
// there is neither.
func (h *Home) joinOrder(sh *shard, p *program, r structs.CallRequest, content []byte) (*order, *journal.Order, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o, ok := p.orders[r.Key]; ok {
		return o, nil, sameOrder(r.Key, o.content, content)
	}
	if stored := sh.storedOrder(p.id, r.Key); stored != nil {
		return nil, stored, sameOrder(r.Key, stored.Content, content)
	}
	if sh.journal.PlatformDown() {
		return nil, nil, verdict.Refuse(verdict.PlatformDown, "the platform takes no writes").RetryIn(retryLater)
	}
	j, err := h.prepare(sh, p, structs.TurnRequest{})
	if err != nil {
		return nil, nil, err
	}
	end, err := sh.beginWork()
	if err != nil {
		return nil, nil, err
	}
	o := &order{content: content, done: make(chan struct{})}
	p.orders[r.Key] = o
	h.work.Go(func() {
		defer end()
		o.reply, o.err = h.runOrder(sh.ctx, sh, j, r, content)
		p.mu.Lock()
		delete(p.orders, r.Key)
		p.mu.Unlock()
		close(o.done)
	})
	return o, nil, nil
}

// sameOrder refuses a key that was already used with different content.
func sameOrder(key string, known, sent []byte) error {
	if bytes.Equal(known, sent) {
		return nil
	}
	return verdict.Refuse(verdict.TurnConflict, "call %q was sent with other content", key)
}

// storedOrder returns a copy of the record of a call, or nil if there is none.
func (sh *shard) storedOrder(id, key string) *journal.Order {
	var stored *journal.Order
	sh.journal.View(func(s *journal.State) {
		if known, ok := s.Programs[id].Orders[key]; ok {
			copied := *known
			stored = &copied
		}
	})
	return stored
}

// runOrder reserves the call, sends it, and charges the budget unless the call did not
// run.
func (h *Home) runOrder(
	ctx context.Context, sh *shard, j job, r structs.CallRequest, content []byte,
) (structs.CallReply, error) {
	counted := h.callReservation(j)
	if err := sh.reserveCall(ctx, counted, j); err != nil {
		return structs.CallReply{}, err
	}
	reply, err := h.slotAndSend(ctx, sh, j, r, content)
	err = sh.wrapShardLoss(err)
	h.counts.countOrder(err)
	if verdict.Is(err, verdict.NotRun) {
		sh.unreserve(counted)
		return reply, err
	}
	sh.chargeCall(counted)
	return reply, err
}

// slotAndSend acquires a slot, stores the intent, sends the call and stores the
// outcome. This is the only safe order of the steps.
//
// The intent names the server, so the slot comes first. The call is sent only after the
// intent is stored under this home's epoch: a takeover before that write makes the write
// fail, and a home that takes over after it reads the intent and never sends. So the
// call is sent at most once, whichever home is paused or dies.
func (h *Home) slotAndSend(
	ctx context.Context, sh *shard, j job, r structs.CallRequest, content []byte,
) (structs.CallReply, error) {
	slot, release, err := h.acquireSlot(ctx, j, r, h.callDeadline(r))
	if err != nil {
		return structs.CallReply{}, err
	}
	defer release()
	if err := h.storeIntent(ctx, sh, r, content, slot.Server); err != nil {
		return structs.CallReply{}, err
	}
	h.checkIntent(sh, r)
	reply, err := h.send(ctx, slot.Server, r)
	if verdict.Is(err, verdict.NotRun) {
		return structs.CallReply{}, h.withdrawIntent(sh, r, verdict.From(err))
	}
	if err != nil {
		return h.lookUpOutcome(ctx, sh, r, slot.Server, err)
	}
	h.storeOutcome(ctx, sh, r, reply)
	return reply, nil
}

// checkIntent checks the invariant that the call about to be sent is on record as an
// intent of this home's epoch and has no outcome yet.
func (h *Home) checkIntent(sh *shard, r structs.CallRequest) {
	stored := sh.storedOrder(r.Program, r.Key)
	epoch := int64(0)
	sh.journal.View(func(s *journal.State) { epoch = s.Epoch })
	h.checks.Check(stored != nil && stored.Outcome == nil && stored.Epoch == epoch, "intent before send",
		"program %s call %q is sent without an intent of epoch %d", r.Program, r.Key, epoch)
}

// storeIntent stores the intent of a call before it is sent. Its errors have the
// verdict NotRun only if no later home can read the intent.
func (h *Home) storeIntent(
	ctx context.Context, sh *shard, r structs.CallRequest, content []byte, server structs.Server,
) error {
	if err := sh.journal.Reserve(orderRecordBytes, newWorkShare); err != nil {
		return refuseCommit(err, "call")
	}
	seq, err := sh.journal.Update(func(s *journal.State) error {
		p := s.Edit(r.Program)
		if p.Ended {
			return verdict.Refuse(verdict.ProgramEnded, "program %s has ended", r.Program)
		}
		if p.Orders == nil {
			p.Orders = map[string]*journal.Order{}
		}
		p.Orders[r.Key] = &journal.Order{Content: content, Server: server, Epoch: s.Epoch}
		return nil
	})
	if err != nil {
		return refuseUpdate(err, "call")
	}
	wait, cancel := context.WithTimeout(ctx, h.cfg.IntentTimeout)
	defer cancel()
	err = sh.journal.WaitUnlessDown(wait, seq)
	if err == nil {
		return nil
	}
	return h.abandonIntent(sh, r, seq, err)
}

// maxInlineBodyBytes is the largest body of an outcome that is kept in the shard
// object. Larger bodies are stored as objects of their own.
const maxInlineBodyBytes = 4 << 10
