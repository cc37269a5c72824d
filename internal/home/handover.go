package home

import (
	"context"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// MethodHandover asks the holder of a shard to give it up.
const MethodHandover = "home.handover"

// handoverRequest names the wanted shard and the daemon that wants it.
type handoverRequest struct {
	Shard structs.ShardID `msgpack:"s"`
	To    string          `msgpack:"t"`
}

// handoverReply tells whether the shard is free now.
type handoverReply struct {
	Released bool `msgpack:"r"`
}

// Register adds the handlers of the messages that homes exchange.
func (h *Home) Register(mux peer.Mux) {
	mux.Handle(MethodHandover, h.serveHandover)
}

func (h *Home) serveHandover(ctx context.Context, s peer.Stream) error {
	var request handoverRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(handoverReply{Released: h.giveAway(ctx, request.Shard)})
}

// giveAway releases the shard if nothing is under way in it, and otherwise
// notes that it is wanted. It reports whether the shard is free.
func (h *Home) giveAway(ctx context.Context, id structs.ShardID) bool {
	h.mu.Lock()
	sh, held := h.shards[id]
	_, claiming := h.claims[id]
	h.mu.Unlock()
	if !held {
		return !claiming
	}
	// While the views of the two daemons differ, the shard stays where it is.
	if owner, ok := member.Home(h.deps.View, id); ok && owner.Name == h.deps.Self {
		return false
	}
	sh.want(time.Now())
	return h.handOver(ctx, sh)
}

// want notes that another home waits for the shard.
func (sh *shard) want(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.wanted.IsZero() {
		sh.wanted = now
	}
	sh.asked = now
}

// press stops new work in a shard that stayed busy for too long while another
// home wants it, and admits work again when nobody asks any more.
func (sh *shard) press(now time.Time, busyFor, askedWithin time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch {
	case sh.wanted.IsZero():
	case now.Sub(sh.asked) > askedWithin:
		sh.wanted = time.Time{}
		sh.closed = false
	case now.Sub(sh.wanted) > busyFor:
		sh.closed = true
	}
}

// closeIdle stops new work if nothing is under way.
func (sh *shard) closeIdle() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.busy > 0 || sh.releasing {
		return false
	}
	sh.closed = true
	sh.releasing = true
	return true
}

// reopen admits work again after a release that was not stored. The release may
// have lowered the stored grants, so none counts as stored any more.
func (sh *shard) reopen(self string) {
	_, _ = sh.journal.Update(func(s *journal.State) error {
		s.Home = self
		sh.meters = map[string]*meters{}
		return nil
	})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closed = false
	sh.releasing = false
}

// handOver writes the release of an idle shard and drops it. It returns false
// when work is under way or the release could not be stored.
//
// No work can start between the check and the release, and none is under way,
// so the next home finds everything in the shard object.
func (h *Home) handOver(ctx context.Context, sh *shard) bool {
	if !sh.closeIdle() {
		return sh.journal.Lost()
	}
	seq, err := sh.journal.Update(func(s *journal.State) error {
		s.Release()
		return nil
	})
	if err == nil {
		wait, cancel := context.WithTimeout(ctx, h.cfg.HandoverTimeout)
		err = sh.journal.Wait(wait, seq)
		cancel()
	}
	if err != nil && !sh.journal.Lost() {
		sh.reopen(h.deps.Self)
		return false
	}
	sh.journal.Abandon()
	sh.cancel()
	<-sh.done
	return true
}

// holderState is what became of the question to a former holder.
type holderState int

const (
	holderGone holderState = iota
	holderReleased
	holderBusy
)

// askHolder asks a former holder to hand the shard over. A holder that is not
// known, not reachable or does not answer in time counts as gone: taking over
// from it is safe at any time, and merely not graceful.
func (h *Home) askHolder(ctx context.Context, id structs.ShardID, holder string) holderState {
	if holder == "" || holder == h.deps.Self || h.deps.Dialer == nil {
		return holderGone
	}
	if _, known := h.deps.View.Lookup(holder); !known {
		return holderGone
	}
	ctx, cancel := context.WithTimeout(ctx, 2*h.cfg.HandoverTimeout)
	defer cancel()
	var reply handoverReply
	request := handoverRequest{Shard: id, To: h.deps.Self}
	err := peer.Call(ctx, h.deps.Dialer, holder, MethodHandover, request, &reply)
	switch {
	case err != nil:
		return holderGone
	case reply.Released:
		return holderReleased
	default:
		return holderBusy
	}
}

// drainPoll is the interval at which a drain looks for idle shards.
const drainPoll = 20 * time.Millisecond

// Drain hands every shard over as soon as nothing is under way in it, and
// returns when none is held or ctx ends. It claims no more shards. A shard that
// stays busy admits no new work after a while.
func (h *Home) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	begun := time.Now()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		left := h.drainRound(ctx, time.Since(begun) > h.cfg.HandoverBusy)
		if left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.Stopping, "shards are still busy")
		}
	}
}

// drainRound hands over the idle shards and returns how many are left.
func (h *Home) drainRound(ctx context.Context, closeBusy bool) int {
	left := 0
	for _, sh := range h.held() {
		if h.handOver(ctx, sh) {
			continue
		}
		left++
		if closeBusy {
			sh.mu.Lock()
			sh.closed = true
			sh.mu.Unlock()
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return left + len(h.claims)
}
