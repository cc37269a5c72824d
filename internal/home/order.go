package home

import (
	"bytes"
	"context"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// order is a non-repeatable call under way, shared by the requests with its key.
type order struct {
	content []byte
	done    chan struct{}
	reply   structs.CallReply
	err     error
}

// order runs a non-repeatable call at most once, or joins it, or returns what
// is known of it.
func (h *Home) order(ctx context.Context, sh *shard, p *program, r structs.CallRequest) (structs.CallReply, error) {
	content := journal.CallContent(r)
	o, stored, err := h.joinOrder(sh, p, r, content)
	if err != nil {
		return structs.CallReply{}, err
	}
	if stored != nil {
		return h.storedOrder(ctx, sh, p, r, stored)
	}
	select {
	case <-o.done:
		return o.reply, o.err
	case <-ctx.Done():
		// The call goes on without this reader.
		return structs.CallReply{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.Canceled, "caller left")
	}
}

// joinOrder returns the call under way, or its stored record, or starts it.
func (h *Home) joinOrder(sh *shard, p *program, r structs.CallRequest, content []byte) (*order, *journal.Order, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o, ok := p.orders[r.Key]; ok {
		return o, nil, sameOrder(r.Key, o.content, content)
	}
	if stored := sh.storedOrder(p.id, r.Key); stored != nil {
		return nil, stored, sameOrder(r.Key, stored.Content, content)
	}
	if sh.journal.Down() {
		return nil, nil, verdict.Refuse(verdict.PlatformDown, "the platform takes no writes").RetryIn(retryLater)
	}
	j, err := h.prepare(sh, p, structs.TurnRequest{})
	if err != nil {
		return nil, nil, err
	}
	end, err := sh.begin()
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

// sameOrder refuses a key that was used with other content.
func sameOrder(key string, known, sent []byte) error {
	if bytes.Equal(known, sent) {
		return nil
	}
	return verdict.Refuse(verdict.TurnConflict, "call %q was sent with other content", key)
}

// storedOrder returns a copy of the record of a call, or nil.
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

// runOrder gets a slot, stores the intent, sends once, and stores the outcome.
func (h *Home) runOrder(ctx context.Context, sh *shard, j job, r structs.CallRequest, content []byte) (structs.CallReply, error) {
	counted := h.callNeed(j)
	if err := sh.reserveCall(ctx, counted, j); err != nil {
		return structs.CallReply{}, err
	}
	reply, err := h.slotAndSend(ctx, sh, j, r, content)
	err = sh.lostWith(err)
	h.counts.countOrder(err)
	if verdict.Is(err, verdict.NotRun) {
		sh.unreserve(counted)
		return reply, err
	}
	sh.chargeCall(counted)
	return reply, err
}

// slotAndSend takes the steps of a non-repeatable call in the one safe order.
//
// The intent names the server, so the slot comes first. The send comes after
// the intent is stored under this home's epoch: a home that took over since
// then has read the intent and will never send, and one that takes over later
// will read it. So there is one send at most, whoever is paused or dies.
func (h *Home) slotAndSend(ctx context.Context, sh *shard, j job, r structs.CallRequest, content []byte) (structs.CallReply, error) {
	slot, release, err := h.slot(ctx, j, r, h.callDeadline(r))
	if err != nil {
		return structs.CallReply{}, err
	}
	defer release()
	if err := h.intend(ctx, sh, r, content, slot.Server); err != nil {
		return structs.CallReply{}, err
	}
	h.checkIntent(sh, r)
	reply, err := h.send(ctx, slot.Server, r)
	if verdict.Is(err, verdict.NotRun) {
		return structs.CallReply{}, h.withdraw(sh, r, verdict.From(err))
	}
	if err != nil {
		return h.settle(ctx, sh, r, slot.Server, err)
	}
	h.conclude(ctx, sh, r, reply)
	return reply, nil
}

// checkIntent checks that the call about to be sent is on record as an intent
// of this home's epoch, and that nobody sent it before.
func (h *Home) checkIntent(sh *shard, r structs.CallRequest) {
	stored := sh.storedOrder(r.Program, r.Key)
	epoch := int64(0)
	sh.journal.View(func(s *journal.State) { epoch = s.Epoch })
	h.checks.Check(stored != nil && stored.Outcome == nil && stored.Epoch == epoch, "intent before send",
		"program %s call %q is sent without an intent of epoch %d", r.Program, r.Key, epoch)
}

// intend stores the intent of a call.
func (h *Home) intend(ctx context.Context, sh *shard, r structs.CallRequest, content []byte, server structs.Server) error {
	if err := sh.journal.Reserve(orderBytes, openShare); err != nil {
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
	wait, cancel := context.WithTimeout(ctx, h.cfg.IntendFor)
	defer cancel()
	err = sh.journal.Try(wait, seq)
	if err == nil {
		return nil
	}
	return h.giveUp(sh, r, seq, err)
}

// inlineBody is the size in bytes up to which the body of an outcome is kept in
// the shard object.
const inlineBody = 4 << 10
