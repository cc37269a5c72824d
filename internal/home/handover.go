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

// MethodHandover is the peer method that asks the holder of a shard to release it.
const MethodHandover = "home.handover"

// handoverRequest contains the requested shard and the requesting daemon.
type handoverRequest struct {
	Shard structs.ShardID `msgpack:"s"`
	To    string          `msgpack:"t"`
}

// handoverReply reports whether the shard is free.
type handoverReply struct {
	Released bool `msgpack:"r"`
}

// Register registers the handlers of the messages between homes.
func (h *Home) Register(mux peer.Mux) {
	mux.Handle(MethodHandover, h.serveHandover)
}

func (h *Home) serveHandover(ctx context.Context, s peer.Stream) error {
	var request handoverRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(handoverReply{Released: h.handOverOnRequest(ctx, request.Shard)})
}

// handOverOnRequest releases the shard if no work is in progress, and otherwise records
// that another home waits for it. It reports whether the shard is free.
func (h *Home) handOverOnRequest(ctx context.Context, id structs.ShardID) bool {
	h.mu.Lock()
	sh, held := h.shards[id]
	_, claiming := h.claims[id]
	h.mu.Unlock()
	if !held {
		return !claiming
	}
	// While the membership views of the two daemons differ, the shard is not handed
	// over.
	if owner, ok := member.Home(h.deps.View, id); ok && owner.Name == h.deps.Self {
		return false
	}
	sh.markWanted(time.Now())
	return h.handOver(ctx, sh)
}

// markWanted records that another home waits for the shard.
func (sh *shard) markWanted(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.wantedSince.IsZero() {
		sh.wantedSince = now
	}
	sh.lastAskedAt = now
}

// updateAdmission stops admitting new work if the shard has been busy for longer than
// maxBusy while another home waits for it. It admits work again if no request for the
// shard arrived within askExpiry.
func (sh *shard) updateAdmission(now time.Time, maxBusy, askExpiry time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch {
	case sh.wantedSince.IsZero():
	case now.Sub(sh.lastAskedAt) > askExpiry:
		sh.wantedSince = time.Time{}
		sh.closed = false
	case now.Sub(sh.wantedSince) > maxBusy:
		sh.closed = true
	}
}

// closeIfIdle stops admitting work and reports true if no work is in progress.
func (sh *shard) closeIfIdle() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.busy > 0 || sh.releasing {
		return false
	}
	sh.closed = true
	sh.releasing = true
	return true
}

// reopen admits work again after a release that was not stored. The release may have
// lowered the stored grants, so the meters, which hold the grants from before the
// release, are discarded.
func (sh *shard) reopen(self string) {
	_, _ = sh.journal.Update(func(s *journal.State) error {
		s.Home = self
		sh.meters = map[string]*treeMeters{}
		return nil
	})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closed = false
	sh.releasing = false
}

// handOver stores the release of an idle shard and drops the shard. It returns false if
// work is in progress or the release could not be stored.
//
// No work is in progress, and none can start between the check and the release, so the
// next home finds the complete state in the shard object.
func (h *Home) handOver(ctx context.Context, sh *shard) bool {
	if !sh.closeIfIdle() {
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

// holderState is the result of asking a former holder for a handover.
type holderState int

const (
	holderGone holderState = iota
	holderReleased
	holderBusy
)

// requestHandover asks a former holder to hand the shard over. A holder that is
// unknown, unreachable or does not answer in time counts as gone. Taking over from it
// is always safe, but is not a graceful handover.
func (h *Home) requestHandover(ctx context.Context, id structs.ShardID, holder string) holderState {
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

// drainPollInterval is the interval at which Drain retries the remaining shards.
const drainPollInterval = 20 * time.Millisecond

// Drain hands over every shard once no work is in progress in it, and claims no more
// shards. A shard that is still busy after HandoverMaxBusy admits no new work. Drain
// returns when no shard is held or when ctx ends.
func (h *Home) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	begun := time.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		left := h.drainRound(ctx, time.Since(begun) > h.cfg.HandoverMaxBusy)
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

// drainRound hands over the idle shards and returns the number of remaining shards and
// claims.
func (h *Home) drainRound(ctx context.Context, closeBusy bool) int {
	left := 0
	for _, sh := range h.heldShards() {
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
