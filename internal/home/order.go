package home

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"

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
		return nil, nil, verdict.Refuse(verdict.PlatformDown, "the platform takes no writes").After(retryLater)
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

// inlineBody is the size in bytes up to which the body of an outcome is kept in
// the shard object.
const inlineBody = 4 << 10

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
		return structs.CallReply{}, verdict.Wrap(err, verdict.Ran, verdict.PlatformDown, "call ran, and its answer cannot be read now").After(retryLater)
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
